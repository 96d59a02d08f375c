//! Guards against log lines on standard output, which scripts parse as JSON.

use std::process::Command;

#[test]
fn demo_prints_nothing_but_its_json() {
    let output = Command::new(env!("CARGO_BIN_EXE_dotterelwheel"))
        .args(["demo", "--requests", "20", "--seed", "1", "--json"])
        .output()
        .expect("the program starts");
    assert!(output.status.success(), "{:?}", output.status);
    let text = String::from_utf8_lossy(&output.stdout);
    let parsed: Result<serde_json::Value, _> = serde_json::from_str(&text);
    assert!(parsed.is_ok(), "{text}");
}

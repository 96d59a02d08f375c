//! The generated page `docs/FAULTS.md`.

/// Guards against a committed page that differs from the one generated from the matrix.
#[test]
fn page_is_current() {
    let committed = include_str!("../../../docs/FAULTS.md");
    assert!(
        committed == faults::page::page(),
        "run `cargo run -p faults --example faults_page`"
    );
}

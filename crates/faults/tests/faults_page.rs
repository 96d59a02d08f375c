//! The committed page of the fault matrix.

/// Guards against a page that no longer says what the matrix tests.
#[test]
fn page_is_current() {
    let committed = include_str!("../../../docs/FAULTS.md");
    assert!(
        committed == faults::page::page(),
        "run `cargo run -p faults --example faults_page`"
    );
}

//! Verification of the audit records of a complete site.

mod common;

use cli::Exit;

/// Guards against audit records of the entry and the agents that contradict each other or the
/// published sets, and against fewer recorded attempts than requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn audit_of_real_requests_is_clean() {
    let report = common::run(&["demo", "--requests", "40", "--json"]).await;
    assert_eq!(report.exit, Exit::Done, "{report:?}");
    let verdict = common::json_document(&report);
    assert_eq!(verdict["audit_problems"], 0);
    assert!(verdict["audit_records"].as_u64().unwrap() > 40, "{verdict}");
}

//! The audit of a whole site.

mod common;

use cli::Exit;

/// Guards against an entry and agents whose records contradict each other or the published sets
/// after real requests, and against a site that records less than one attempt at each request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn audit_of_real_requests_is_clean() {
    let report = common::run(&["demo", "--requests", "40", "--json"]).await;
    assert_eq!(report.exit, Exit::Done, "{report:?}");
    let verdict = common::document(&report);
    assert_eq!(verdict["audit_problems"], 0);
    assert!(verdict["audit_records"].as_u64().unwrap() > 40, "{verdict}");
}

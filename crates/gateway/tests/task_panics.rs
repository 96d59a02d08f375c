//! Guards against a panic in one task that ends the work of a whole process.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gateway::recover::supervise;

#[tokio::test(start_paused = true)]
async fn background_task_starts_again_after_a_panic() {
    let starts = Arc::new(AtomicU32::new(0));
    let counter = starts.clone();
    let task = move || {
        let start = counter.fetch_add(1, Ordering::SeqCst);
        async move { assert!(start >= 2, "panics at the first two starts") }
    };
    supervise("test", task).await;
    assert_eq!(starts.load(Ordering::SeqCst), 3);
}

#[tokio::test(start_paused = true)]
async fn dropped_supervisor_ends_its_task() {
    let running = Arc::new(());
    let held = running.clone();
    let task = move || {
        let held = held.clone();
        async move {
            tokio::time::sleep(Duration::from_secs(3_600)).await;
            drop(held);
        }
    };
    let supervisor = tokio::spawn(supervise("test", task));
    tokio::time::sleep(Duration::from_millis(10)).await;
    supervisor.abort();
    assert!(supervisor.await.is_err());
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(Arc::strong_count(&running), 1);
}

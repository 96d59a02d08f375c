//! Keeps a process running after a panic in one of its tasks.
//!
//! Invariants: a panic ends one request or one run of a background task; the state that it had locked
//! stays usable, since each change of it is complete or of no consequence for later ones.

use std::future::Future;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use spdlog::error;
use tokio::task::JoinSet;

/// The pause before a background task starts again, so that one that always panics does not take up
/// the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Locks a mutex, also after a panic of a task that held it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a background task and starts it again if it panics. Dropping the future ends the task.
pub async fn supervise<F>(name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let mut task = JoinSet::new();
        task.spawn(start());
        match task.join_next().await {
            Some(Err(join_error)) if join_error.is_panic() => {
                let reason = join_error.to_string();
                error!("background task panicked", kv: { task = name, reason = reason.as_str() });
            }
            Some(_) | None => return,
        }
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

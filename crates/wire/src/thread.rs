//! Threads that each run one single-threaded runtime for RPC systems.

use std::future::Future;
use std::thread::JoinHandle;

use tokio::task::LocalSet;

/// Starts a thread that runs `main` to its end on a current-thread runtime.
pub(crate) fn spawn<F, M>(name: &str, main: M) -> std::io::Result<JoinHandle<()>>
where
    M: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, main());
        })
}

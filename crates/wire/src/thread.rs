//! RPC threads. RPC systems are not `Send`, so each thread has its own single-threaded runtime.

use std::future::Future;
use std::thread::JoinHandle;

use tokio::task::LocalSet;

/// Starts a thread that runs `main` to completion on a current-thread runtime. Tasks that `main`
/// spawned locally are dropped when it completes.
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

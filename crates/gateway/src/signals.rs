//! Handlers of SIGTERM and SIGHUP.

use error_stack::Report;
use error_stack::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::process::ProcessError;

/// The handlers of SIGTERM and SIGHUP, installed when this value is created.
#[derive(Debug)]
pub(crate) struct Signals {
    term: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed.
    pub(crate) fn install() -> Result<Signals, Report<ProcessError>> {
        let term = signal(SignalKind::terminate()).change_context(ProcessError::Setup)?;
        let hup = signal(SignalKind::hangup()).change_context(ProcessError::Setup)?;
        Ok(Signals { term, hup })
    }

    /// Waits for SIGTERM and calls `reload` on each SIGHUP until then.
    pub(crate) async fn wait_for_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.hup.recv() => reload(),
            }
        }
    }
}

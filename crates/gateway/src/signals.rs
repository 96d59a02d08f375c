//! The signals that a process answers.

use error_stack::Report;
use error_stack::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::process::ProcessError;

/// SIGTERM and SIGHUP, which are caught from the creation of this value on.
#[derive(Debug)]
pub(crate) struct Signals {
    term: Signal,
    hup: Signal,
}

impl Signals {
    /// Catches the signals.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed.
    pub(crate) fn install() -> Result<Signals, Report<ProcessError>> {
        let term = signal(SignalKind::terminate()).change_context(ProcessError::Setup)?;
        let hup = signal(SignalKind::hangup()).change_context(ProcessError::Setup)?;
        Ok(Signals { term, hup })
    }

    /// Waits for SIGTERM and calls `reload` at each SIGHUP before it.
    pub(crate) async fn wait_for_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.hup.recv() => reload(),
            }
        }
    }
}

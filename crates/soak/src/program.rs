//! The programs under test as child processes.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// The time that a program may take after its start to install its signal handlers.
const SIGNAL_HANDLER_DELAY: Duration = Duration::from_millis(500);

/// A program under test that can be restarted.
#[derive(Debug)]
pub struct Process {
    name: String,
    command: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    start_count: AtomicU32,
    /// Locked during a restart or pause, so that overlapping faults run one after the other.
    child: Mutex<Option<Running>>,
}

#[derive(Debug)]
struct Running {
    child: Child,
    /// When its signal handlers are expected to be installed.
    handles_signals_at: Instant,
}

impl Process {
    /// Creates a process without starting it; its output is appended to `log`.
    pub fn new(name: &str, command: &Path, args: &[&str], log: PathBuf) -> Process {
        Process {
            name: name.into(),
            command: command.into(),
            args: args.iter().map(|arg| (*arg).to_owned()).collect(),
            log,
            start_count: AtomicU32::new(0),
            child: Mutex::new(None),
        }
    }

    /// Returns how often it has been started.
    pub fn start_count(&self) -> u32 {
        self.start_count.load(Ordering::SeqCst)
    }

    /// Starts it unless it has been started already.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub async fn start(&self) -> std::io::Result<()> {
        let mut child = self.child.lock().await;
        if child.is_none() {
            *child = Some(self.spawn()?);
        }
        Ok(())
    }

    /// Kills it by SIGKILL and starts it again after `pause`.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be killed or started.
    pub async fn kill_and_restart(&self, pause: Duration) -> std::io::Result<()> {
        let mut child = self.child.lock().await;
        if let Some(running) = child.as_mut() {
            running.child.kill().await?;
        }
        tokio::time::sleep(pause).await;
        *child = Some(self.spawn()?);
        Ok(())
    }

    /// Sends SIGTERM and starts it again after its exit; returns whether it exited within `limit`.
    /// If it did not, it is killed.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be signaled or started.
    pub async fn stop_and_restart(&self, limit: Duration) -> std::io::Result<bool> {
        let mut child = self.child.lock().await;
        let Some(running) = child.as_mut() else {
            return Ok(true);
        };
        send_signal(&running.child, Signal::TERM)?;
        let ended = tokio::time::timeout(limit, running.child.wait())
            .await
            .is_ok();
        if !ended {
            running.child.kill().await?;
        }
        *child = Some(self.spawn()?);
        Ok(ended)
    }

    /// Sends a signal that the program handles, once it has run for `SIGNAL_HANDLER_DELAY`: without a
    /// handler the signal would kill it.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be signaled.
    pub async fn signal(&self, kind: Signal) -> std::io::Result<()> {
        let child = self.child.lock().await;
        let Some(running) = child.as_ref() else {
            return Ok(());
        };
        tokio::time::sleep_until(running.handles_signals_at).await;
        send_signal(&running.child, kind)
    }

    /// Suspends it by SIGSTOP for `length`; restarts wait until it is resumed. A program that is
    /// suspended during its start installs its signal handlers later by the same time.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be signaled.
    pub async fn pause(&self, length: Duration) -> std::io::Result<()> {
        let mut child = self.child.lock().await;
        let Some(running) = child.as_mut() else {
            return Ok(());
        };
        if Instant::now() < running.handles_signals_at {
            running.handles_signals_at += length;
        }
        send_signal(&running.child, Signal::STOP)?;
        tokio::time::sleep(length).await;
        send_signal(&running.child, Signal::CONT)
    }

    /// Starts it again if it has exited unexpectedly, and returns a description of the exit.
    ///
    /// # Errors
    ///
    /// Fails if its exit status cannot be read or it cannot be started.
    pub async fn restart_if_exited(&self) -> std::io::Result<Option<String>> {
        let Ok(mut child) = self.child.try_lock() else {
            return Ok(None);
        };
        let Some(running) = child.as_mut() else {
            return Ok(None);
        };
        let Some(status) = running.child.try_wait()? else {
            return Ok(None);
        };
        *child = Some(self.spawn()?);
        Ok(Some(format!("{} exited unexpectedly: {status}", self.name)))
    }

    /// Kills it without starting it again.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be killed.
    pub async fn kill(&self) -> std::io::Result<()> {
        match self.child.lock().await.take() {
            Some(mut running) => running.child.kill().await,
            None => Ok(()),
        }
    }

    fn spawn(&self) -> std::io::Result<Running> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        self.start_count.fetch_add(1, Ordering::SeqCst);
        let child = Command::new(&self.command)
            .args(&self.args)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Running {
            child,
            handles_signals_at: Instant::now() + SIGNAL_HANDLER_DELAY,
        })
    }
}

fn send_signal(child: &Child, kind: Signal) -> std::io::Result<()> {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    match id.and_then(Pid::from_raw) {
        Some(id) => Ok(kill_process(id, kind)?),
        // The process has exited; `restart_if_exited` starts it again.
        None => Ok(()),
    }
}

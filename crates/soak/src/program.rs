//! The programs of the system as child processes.

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

/// The time in which a program that was started catches its signals.
const START_TIME: Duration = Duration::from_millis(500);

/// One program, which can be started again and again.
#[derive(Debug)]
pub struct Process {
    name: String,
    command: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    lives: AtomicU32,
    /// Held while it is stopped or started, so that faults which overlap take turns.
    child: Mutex<Option<Running>>,
}

#[derive(Debug)]
struct Running {
    child: Child,
    since: Instant,
}

impl Process {
    /// Describes a program that is not started yet; its output is added to `log`.
    pub fn new(name: &str, command: &Path, args: &[&str], log: PathBuf) -> Process {
        Process {
            name: name.into(),
            command: command.into(),
            args: args.iter().map(|arg| (*arg).to_owned()).collect(),
            log,
            lives: AtomicU32::new(0),
            child: Mutex::new(None),
        }
    }

    /// Returns how often it was started.
    pub fn lives(&self) -> u32 {
        self.lives.load(Ordering::SeqCst)
    }

    /// Starts it, unless it runs.
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

    /// Kills it and starts it again after `pause`.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub async fn kill(&self, pause: Duration) -> std::io::Result<()> {
        let mut child = self.child.lock().await;
        if let Some(running) = child.as_mut() {
            running.child.kill().await?;
        }
        tokio::time::sleep(pause).await;
        *child = Some(self.spawn()?);
        Ok(())
    }

    /// Asks it to end and starts it again; returns whether it ended within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be signaled or started.
    pub async fn stop(&self, limit: Duration) -> std::io::Result<bool> {
        let mut child = self.child.lock().await;
        let Some(running) = child.as_mut() else {
            return Ok(true);
        };
        signal(&running.child, Signal::TERM)?;
        let ended = tokio::time::timeout(limit, running.child.wait())
            .await
            .is_ok();
        if !ended {
            running.child.kill().await?;
        }
        *child = Some(self.spawn()?);
        Ok(ended)
    }

    /// Sends a signal that does not end it, [`START_TIME`] after its start at the earliest: until a
    /// process catches a signal, the signal ends it.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be signaled.
    pub async fn signal(&self, kind: Signal) -> std::io::Result<()> {
        let child = self.child.lock().await;
        let Some(running) = child.as_ref() else {
            return Ok(());
        };
        tokio::time::sleep_until(running.since + START_TIME).await;
        signal(&running.child, kind)
    }

    /// Stops it by SIGSTOP for `length`. It cannot be stopped or killed meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be signaled.
    pub async fn pause(&self, length: Duration) -> std::io::Result<()> {
        let child = self.child.lock().await;
        let Some(running) = child.as_ref() else {
            return Ok(());
        };
        signal(&running.child, Signal::STOP)?;
        tokio::time::sleep(length).await;
        signal(&running.child, Signal::CONT)
    }

    /// Returns how it ended if it ended by itself; it is then started again.
    ///
    /// # Errors
    ///
    /// Fails if its state cannot be read or it cannot be started.
    pub async fn ended(&self) -> std::io::Result<Option<String>> {
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
        Ok(Some(format!("{} ended by itself: {status}", self.name)))
    }

    /// Ends it for good.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be killed.
    pub async fn end(&self) -> std::io::Result<()> {
        match self.child.lock().await.take() {
            Some(mut running) => running.child.kill().await,
            None => Ok(()),
        }
    }

    fn spawn(&self) -> std::io::Result<Running> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        self.lives.fetch_add(1, Ordering::SeqCst);
        let child = Command::new(&self.command)
            .args(&self.args)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Running {
            child,
            since: Instant::now(),
        })
    }
}

fn signal(child: &Child, kind: Signal) -> std::io::Result<()> {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    match id.and_then(Pid::from_raw) {
        Some(id) => Ok(kill_process(id, kind)?),
        // The process has ended; its next start is up to the one that looks for ended ones.
        None => Ok(()),
    }
}

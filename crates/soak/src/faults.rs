//! The injection of faults.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use rig::engine::MODEL;
use rig::runner::Phase;
use rig::runner::Runner;
use rustix::process::Signal;
use serving::runner::Notice;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::harness::BOUNDS;
use crate::harness::Harness;
use crate::harness::RunError;
use crate::history;
use crate::history::FaultPeriod;
use crate::history::FaultTarget;
use crate::history::Ms;
use crate::history::NoticeKind;
use crate::history::RunnerNotice;
use crate::plan::Fault;
use crate::plan::LinkFault;
use crate::plan::Program;
use crate::plan::deadly_path;
use crate::program::Process;
use crate::proxy::Proxy;
use crate::tenants;

/// The time between a runner's exit and the removal of its membership record.
const MEMBER_REMOVAL_DELAY: Duration = Duration::from_millis(800);
/// The same if another runner has taken the address by then.
const REUSE_MEMBER_REMOVAL_DELAY: Duration = Duration::from_millis(1_800);
/// The time for which a draining runner, or the one at a reused address, still runs.
const RUNNER_DRAIN_TIME: Duration = Duration::from_millis(4_000);
/// The time for which a runner that says that it leaves still runs.
const RUNNER_LEAVE_TIME: Duration = Duration::from_millis(6_000);
/// The time within which operators and runners write again what a restore of the store has lost.
const REWRITE_PERIOD: Duration = Duration::from_millis(1_500);
/// The probability per mille with which an answer has a silence while a runner has some.
const SILENT_ANSWERS_PERMILLE: u32 = 300;
/// The time until a runner that has crashed on a request starts again, in milliseconds.
const DEADLY_RESTART_MS: Ms = 300;

impl Harness {
    /// Runs a fault and records the period in which it is active.
    async fn record<T>(
        &self,
        target: FaultTarget,
        planned: bool,
        fault: impl Future<Output = T>,
    ) -> T {
        let period = {
            let mut history = self.history();
            history.fault_periods.push(FaultPeriod {
                target,
                planned,
                from: self.now(),
                to: Ms::MAX,
            });
            history.fault_periods.len() - 1
        };
        let result = fault.await;
        let to = self.now();
        self.history().fault_periods[period].to = to;
        result
    }

    pub(crate) async fn inject(&self, fault: Fault) -> Result<(), Report<RunError>> {
        let ms = Duration::from_millis;
        match fault {
            Fault::StoreDown(length) => {
                let outage = async {
                    self.store.set_down(true);
                    tokio::time::sleep(ms(length)).await;
                    self.store.set_down(false);
                };
                self.record(FaultTarget::Store, false, outage).await;
            }
            Fault::StoreHistoryLost => self.store.forget_history(),
            Fault::StoreRestored(age, down) => self.restore_store(ms(age), ms(down)).await,
            Fault::StoreLink(entry, fault, length) => {
                let link = &self.store_links[entry];
                self.fail_link(FaultTarget::Entry(entry), link, fault, length)
                    .await;
            }
            Fault::StoreConnectionMuted(entry, draw) => {
                let mute = async { self.store_links[entry].mute_one(draw) };
                self.record(FaultTarget::Entry(entry), false, mute).await;
            }
            Fault::RunnerLink(index, fault, length) => {
                let link = &self.runner_hosts[index].proxy;
                self.fail_link(FaultTarget::Runner(index), link, fault, length)
                    .await;
            }
            Fault::AgentLink(index, fault, length) => {
                if let Some(link) = &self.runner_hosts[index].agent_proxy {
                    self.fail_link(FaultTarget::Runner(index), link, fault, length)
                        .await;
                }
            }
            Fault::Pause(program, length) => {
                let pause = self.process(program).pause(ms(length));
                let paused = self.record(target_of(program), false, pause).await;
                paused.change_context(RunError::Program)?;
            }
            Fault::Kill(program, length) => {
                let kill = self.process(program).kill_and_restart(ms(length));
                let killed = self.record(target_of(program), false, kill).await;
                killed.change_context(RunError::Program)?;
            }
            Fault::Stop(program) => self.stop_program(program).await?,
            Fault::Reload(entry) => {
                let signal = self.entries[entry].signal(Signal::HUP);
                let sent = self.record(FaultTarget::Entry(entry), true, signal).await;
                sent.change_context(RunError::Program)?;
            }
            Fault::RunnerCrash(index, length) => {
                let crash = self.crash_runner(index, length);
                self.record(FaultTarget::Runner(index), false, crash)
                    .await?;
            }
            Fault::AddressReuse(index) => {
                let reuse = self.reuse_address(index);
                self.record(FaultTarget::Runner(index), false, reuse)
                    .await?;
            }
            Fault::RunnerDrain(index) => self.drain_runner(index).await?,
            Fault::RunnerFull(index, length) => {
                self.set_full(index, true).await;
                tokio::time::sleep(ms(length)).await;
                self.set_full(index, false).await;
            }
            Fault::NewManifest(idle_ms) => {
                let version = self.manifest.fetch_add(1, Ordering::SeqCst) + 1;
                let text = tenants::manifest(version, idle_ms);
                self.record_idle_limit(version, idle_ms);
                self.store.put_manifest(&text);
                let at = self.now();
                self.history().manifests.push((version, at));
            }
            Fault::NewAdapterVersion(index) => self.announce_version(index),
            Fault::RunnerLimit(index, rate, length) => {
                let kind = NoticeKind::Limit(f64::from(rate));
                self.announce(index, kind, length).await;
            }
            Fault::RunnerLeaving(index) => self.leave(index).await?,
            Fault::RunnerPause(index, length) => {
                self.set_full(index, true).await;
                self.announce(index, NoticeKind::Pause(length), length)
                    .await;
                self.set_full(index, false).await;
            }
            Fault::RunnerSilent(index, length) => self.silence(index, ms(length)).await,
            Fault::AnswersSilent(index, length) => {
                self.set_pauses(index, SILENT_ANSWERS_PERMILLE).await;
                tokio::time::sleep(ms(length)).await;
                self.set_pauses(index, 0).await;
            }
            Fault::DeadlyRequest(number, length) => {
                self.set_deadly_request(number, true);
                tokio::time::sleep(ms(length)).await;
                self.set_deadly_request(number, false);
            }
            Fault::DeadlyPart(part, length) => {
                self.set_deadly(part, true);
                tokio::time::sleep(ms(length)).await;
                self.set_deadly(part, false);
            }
        }
        Ok(())
    }

    /// Restores the store; what was lost is written again within [`REWRITE_PERIOD`].
    async fn restore_store(&self, age: Duration, down: Duration) {
        let started_at = Instant::now();
        let restore = async {
            self.store.set_down(!down.is_zero());
            tokio::time::sleep(down).await;
            let lost = self
                .store
                .restore(started_at.checked_sub(age).unwrap_or(started_at));
            self.store.set_down(false);
            lost
        };
        let lost = self.record(FaultTarget::Store, false, restore).await;
        for index in 0..lost.len() {
            tokio::time::sleep(REWRITE_PERIOD / lost.len() as u32).await;
            self.store.write_again(&lost, index);
        }
    }

    async fn fail_link(&self, target: FaultTarget, link: &Proxy, fault: LinkFault, length: Ms) {
        let active = async {
            link.set_fault(Some(fault));
            if fault != LinkFault::Reset {
                tokio::time::sleep(Duration::from_millis(length)).await;
                link.set_fault(None);
            }
        };
        self.record(target, false, active).await;
    }

    fn process(&self, program: Program) -> &Process {
        match program {
            Program::Entry(index) => &self.entries[index],
            Program::Agent(index) => &self.agents[index],
        }
    }

    async fn stop_program(&self, program: Program) -> Result<(), Report<RunError>> {
        let stop = self
            .process(program)
            .stop_and_restart(Duration::from_millis(BOUNDS.stop));
        let stopped = self.record(target_of(program), true, stop).await;
        if !stopped.change_context(RunError::Program)? {
            let exit = format!("{program} still ran {} ms after SIGTERM", BOUNDS.stop);
            self.history().unexpected_exits.push(exit);
        }
        Ok(())
    }

    async fn set_full(&self, index: usize, full: bool) {
        if let Some(runner) = self.runner_hosts[index].runner.lock().await.as_ref() {
            runner.set_full(full);
        }
    }

    async fn set_pauses(&self, index: usize, permille: u32) {
        if let Some(runner) = self.runner_hosts[index].runner.lock().await.as_ref() {
            runner.set_pauses(permille);
        }
    }

    /// Lets the runner at a position be silent for a while, towards entries and its agent.
    async fn silence(&self, index: usize, length: Duration) {
        let host = &self.runner_hosts[index];
        let Ok(_silence) = host.silence.try_lock() else {
            return;
        };
        let silent = async {
            host.faults.set_frozen(true);
            host.proxy.set_held(true);
            tokio::time::sleep(length).await;
            host.proxy.set_held(false);
            host.faults.set_frozen(false);
        };
        self.record(FaultTarget::SilentRunner(index), false, silent)
            .await;
    }

    /// Lets the present runner at a position say something of itself for a while. Another fault may stop
    /// it meanwhile.
    async fn announce(&self, index: usize, kind: NoticeKind, length: Ms) {
        let host = &self.runner_hosts[index];
        let Ok(_notice) = host.notice.try_lock() else {
            return;
        };
        let Some(id) = host.announce(None, kind.to_notice()).await else {
            return;
        };
        let from = self.now();
        tokio::time::sleep(Duration::from_millis(length)).await;
        let to = self.now();
        host.announce(Some(&id), Notice::default()).await;
        let notice = RunnerNotice {
            runner: id,
            kind,
            from,
            to,
        };
        self.history().notices.push(notice);
    }

    /// Lets a runner say that it leaves while its record says ready; then stops it.
    async fn leave(&self, index: usize) -> Result<(), Report<RunError>> {
        let Ok(_notice) = self.runner_hosts[index].notice.try_lock() else {
            return Ok(());
        };
        let mut current = self.runner_hosts[index].runner.lock().await;
        if let Some(runner) = current.take() {
            runner.announce(NoticeKind::Leaving.to_notice());
            let from = self.now();
            tokio::time::sleep(RUNNER_LEAVE_TIME).await;
            let notice = RunnerNotice {
                runner: runner.id.clone(),
                kind: NoticeKind::Leaving,
                from,
                to: self.now(),
            };
            self.history().notices.push(notice);
            self.stop_and_remove(runner).await;
        }
        *current = Some(self.start_member(index, self.service(index)).await?);
        Ok(())
    }

    fn set_deadly(&self, part: u64, is_deadly: bool) {
        let mut deadly = self.deadly.lock().expect("no panics under the lock");
        let part = format!("{part:x}");
        if is_deadly {
            deadly.insert(part);
        } else {
            deadly.remove(&part);
        }
    }

    fn set_deadly_request(&self, number: u64, is_deadly: bool) {
        let mut paths = self.deadly_paths.lock().expect("no panics under the lock");
        if is_deadly {
            paths.insert(deadly_path(number));
        } else {
            paths.remove(&deadly_path(number));
        }
    }

    async fn crash_runner(&self, index: usize, length: Ms) -> Result<(), Report<RunError>> {
        let mut current = self.runner_hosts[index].runner.lock().await;
        if let Some(runner) = current.take() {
            self.stop_and_remove(runner).await;
        }
        tokio::time::sleep(Duration::from_millis(length)).await;
        *current = Some(self.start_member(index, self.service(index)).await?);
        Ok(())
    }

    /// Does the same for a runner that has crashed by itself, unless another fault has stopped it.
    async fn restart_crashed(&self, id: &str) -> Result<(), Report<RunError>> {
        let Some(index) = history::position(id) else {
            return Ok(());
        };
        let is_current = {
            let current = self.runner_hosts[index].runner.lock().await;
            current.as_ref().is_some_and(|runner| runner.id == id)
        };
        if !is_current {
            return Ok(());
        }
        let crash = self.crash_runner(index, DEADLY_RESTART_MS);
        self.record(FaultTarget::Runner(index), false, crash).await
    }

    /// Replaces a runner by one of another service at the same address, while the membership record
    /// of the first one still exists.
    async fn reuse_address(&self, index: usize) -> Result<(), Report<RunError>> {
        let mut current = self.runner_hosts[index].runner.lock().await;
        if let Some(runner) = current.take() {
            let id = self.stop_runner(runner).await;
            let other = self.start_runner(index, "t").await?;
            tokio::time::sleep(REUSE_MEMBER_REMOVAL_DELAY).await;
            self.remove_member(&id);
            self.announce_runner(index, &other, Phase::Ready);
            tokio::time::sleep(RUNNER_DRAIN_TIME).await;
            self.stop_and_remove(other).await;
        }
        *current = Some(self.start_member(index, self.service(index)).await?);
        Ok(())
    }

    async fn drain_runner(&self, index: usize) -> Result<(), Report<RunError>> {
        let mut current = self.runner_hosts[index].runner.lock().await;
        if let Some(runner) = current.take() {
            self.announce_runner(index, &runner, Phase::Draining);
            self.record_departure(&runner.id);
            tokio::time::sleep(RUNNER_DRAIN_TIME).await;
            self.stop_and_remove(runner).await;
        }
        *current = Some(self.start_member(index, self.service(index)).await?);
        Ok(())
    }

    /// Stops a runner, and removes its membership record after a delay as after a crash.
    async fn stop_and_remove(&self, runner: Runner) {
        let id = self.stop_runner(runner).await;
        tokio::time::sleep(MEMBER_REMOVAL_DELAY).await;
        self.remove_member(&id);
    }

    fn remove_member(&self, id: &str) {
        self.store.remove_member(id);
        self.record_departure(id);
    }

    fn record_departure(&self, id: &str) {
        let at = self.now();
        self.history().departures.push((id.to_owned(), at));
    }

    fn announce_version(&self, index: usize) {
        let adapter = format!("a{index}");
        let mut newest = self.versions.lock().expect("no panics under the lock");
        let version = newest.entry(adapter.clone()).or_insert(1);
        *version += 1;
        let version = *version;
        drop(newest);
        self.store.put_version(MODEL, &adapter, version);
        let at = self.now();
        self.history().versions.push((adapter, version, at));
    }
}

/// Stops the runners that have crashed on a deadly part, and starts them again after a while. Ends after
/// `stop`, when the last of them has started.
///
/// # Errors
///
/// Fails if a runner cannot be started, or its task panics.
pub(crate) async fn stop_crashed_runners(
    harness: Arc<Harness>,
    mut crashes: mpsc::UnboundedReceiver<String>,
    mut stop: oneshot::Receiver<()>,
) -> Result<(), Report<RunError>> {
    let mut restarts = JoinSet::new();
    loop {
        let runner = tokio::select! {
            Some(runner) = crashes.recv() => runner,
            _ = &mut stop => break,
        };
        let harness = harness.clone();
        restarts.spawn(async move { harness.restart_crashed(&runner).await });
    }
    while let Some(result) = restarts.join_next().await {
        result.change_context(RunError::Task)??;
    }
    Ok(())
}

fn target_of(program: Program) -> FaultTarget {
    match program {
        Program::Entry(index) => FaultTarget::Entry(index),
        Program::Agent(index) => FaultTarget::Runner(index),
    }
}

//! How each fault is brought about.

use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use rig::deploy;
use rig::engine::MODEL;
use rig::runner::Phase;
use rig::runner::Runner;
use rustix::process::Signal;

use crate::history::Ms;
use crate::history::Span;
use crate::history::Target;
use crate::plan::Fault;
use crate::plan::Harm;
use crate::plan::Program;
use crate::program::Process;
use crate::proxy::Proxy;
use crate::world::BOUNDS;
use crate::world::Failure;
use crate::world::SLOTS;
use crate::world::World;

/// The pause between a runner's crash and the end of its membership entry.
const LAPSE: Duration = Duration::from_millis(800);
/// The same where another runner has taken its address by then.
const REUSE_LAPSE: Duration = Duration::from_millis(1_800);
/// The time that a leaving runner still takes part.
const DRAIN_TIME: Duration = Duration::from_millis(4_000);

impl World {
    /// Brings a fault about and notes how long it disturbed its target.
    async fn during<T>(&self, target: Target, planned: bool, fault: impl Future<Output = T>) -> T {
        let span = {
            let mut history = self.history();
            history.spans.push(Span {
                target,
                planned,
                from: self.now(),
                to: Ms::MAX,
            });
            history.spans.len() - 1
        };
        let result = fault.await;
        let to = self.now();
        self.history().spans[span].to = to;
        result
    }

    pub(crate) async fn bring(&self, fault: Fault) -> Result<(), Report<Failure>> {
        let ms = Duration::from_millis;
        match fault {
            Fault::StoreDown(length) => {
                let outage = async {
                    self.store.set_down(true);
                    tokio::time::sleep(ms(length)).await;
                    self.store.set_down(false);
                };
                self.during(Target::Store, false, outage).await;
            }
            Fault::HistoryGone => self.store.forget_history(),
            Fault::StoreLink(entry, harm, length) => {
                let link = &self.store_links[entry];
                self.harm(Target::Entry(entry), link, harm, length).await;
            }
            Fault::RunnerLink(index, harm, length) => {
                let link = &self.places[index].proxy;
                self.harm(Target::Runner(index), link, harm, length).await;
            }
            Fault::AgentLink(index, harm, length) => {
                if let Some(link) = &self.places[index].agent_proxy {
                    self.harm(Target::Runner(index), link, harm, length).await;
                }
            }
            Fault::Pause(program, length) => {
                let pause = self.process(program).pause(ms(length));
                let paused = self.during(target(program), false, pause).await;
                paused.change_context(Failure::Program)?;
            }
            Fault::Kill(program, length) => {
                let kill = self.process(program).kill(ms(length));
                let killed = self.during(target(program), false, kill).await;
                killed.change_context(Failure::Program)?;
            }
            Fault::Stop(program) => self.stop_program(program).await?,
            Fault::Reload(entry) => {
                let signal = self.entries[entry].signal(Signal::HUP);
                let sent = self.during(Target::Entry(entry), true, signal).await;
                sent.change_context(Failure::Program)?;
            }
            Fault::Crash(index, length) => {
                let crash = self.crash(index, length);
                self.during(Target::Runner(index), false, crash).await?;
            }
            Fault::Reuse(index) => {
                let reuse = self.reuse(index);
                self.during(Target::Runner(index), false, reuse).await?;
            }
            Fault::Drain(index) => self.drain(index).await?,
            Fault::Full(index, length) => {
                self.set_full(index, true).await;
                tokio::time::sleep(ms(length)).await;
                self.set_full(index, false).await;
            }
            Fault::Manifest => {
                let version = self.manifest.fetch_add(1, Ordering::SeqCst) + 1;
                let text = deploy::versioned_manifest(version, SLOTS);
                self.store.put_manifest(&text);
                let at = self.now();
                self.history().configs.push((version, at));
            }
            Fault::Version(index) => self.announce_version(index),
        }
        Ok(())
    }

    async fn harm(&self, target: Target, link: &Proxy, harm: Harm, length: Ms) {
        let harmed = async {
            link.harm(Some(harm));
            if harm != Harm::Reset {
                tokio::time::sleep(Duration::from_millis(length)).await;
                link.harm(None);
            }
        };
        self.during(target, false, harmed).await;
    }

    fn process(&self, program: Program) -> &Process {
        match program {
            Program::Entry(index) => &self.entries[index],
            Program::Agent(index) => &self.agents[index],
        }
    }

    async fn stop_program(&self, program: Program) -> Result<(), Report<Failure>> {
        let stop = self
            .process(program)
            .stop(Duration::from_millis(BOUNDS.stop));
        let stopped = self.during(target(program), true, stop).await;
        if !stopped.change_context(Failure::Program)? {
            let exit = format!("{program} still ran {} ms after SIGTERM", BOUNDS.stop);
            self.history().exits.push(exit);
        }
        Ok(())
    }

    async fn set_full(&self, index: usize, full: bool) {
        if let Some(runner) = self.places[index].runner.lock().await.as_ref() {
            runner.set_full(full);
        }
    }

    async fn crash(&self, index: usize, length: Ms) -> Result<(), Report<Failure>> {
        let mut place = self.places[index].runner.lock().await;
        if let Some(runner) = place.take() {
            self.lose(runner).await;
        }
        tokio::time::sleep(Duration::from_millis(length)).await;
        *place = Some(self.bear(index, self.service(index)).await?);
        Ok(())
    }

    /// Lets a runner of another service take the address of a crashed one while the membership still
    /// names the latter.
    async fn reuse(&self, index: usize) -> Result<(), Report<Failure>> {
        let mut place = self.places[index].runner.lock().await;
        if let Some(runner) = place.take() {
            let id = self.end_runner(runner).await;
            let other = self.start_runner(index, "t").await?;
            tokio::time::sleep(REUSE_LAPSE).await;
            self.leave(&id);
            self.announce(index, &other, Phase::Ready);
            tokio::time::sleep(DRAIN_TIME).await;
            self.lose(other).await;
        }
        *place = Some(self.bear(index, self.service(index)).await?);
        Ok(())
    }

    async fn drain(&self, index: usize) -> Result<(), Report<Failure>> {
        let mut place = self.places[index].runner.lock().await;
        if let Some(runner) = place.take() {
            self.announce(index, &runner, Phase::Draining);
            self.note_leaving(&runner.id);
            tokio::time::sleep(DRAIN_TIME).await;
            self.lose(runner).await;
        }
        *place = Some(self.bear(index, self.service(index)).await?);
        Ok(())
    }

    /// Ends a runner; its membership entry lapses a little later.
    async fn lose(&self, runner: Runner) {
        let id = self.end_runner(runner).await;
        tokio::time::sleep(LAPSE).await;
        self.leave(&id);
    }

    fn leave(&self, id: &str) {
        self.store.remove_member(id);
        self.note_leaving(id);
    }

    fn note_leaving(&self, id: &str) {
        let at = self.now();
        self.history().leaving.push((id.to_owned(), at));
    }

    fn announce_version(&self, index: usize) {
        let adapter = format!("a{index}");
        let mut newest = self.newest.lock().expect("no panics under the lock");
        let version = newest.entry(adapter.clone()).or_insert(1);
        *version += 1;
        let version = *version;
        drop(newest);
        self.store.put_version(MODEL, &adapter, version);
        let at = self.now();
        self.history().versions.push((adapter, version, at));
    }
}

/// Returns what a fault of a program disturbs.
fn target(program: Program) -> Target {
    match program {
        Program::Entry(index) => Target::Entry(index),
        Program::Agent(index) => Target::Runner(index),
    }
}

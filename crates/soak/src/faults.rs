//! How each fault is brought about.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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
    /// Notes the start of a fault; the span is closed by [`World::close`].
    fn open(&self, target: Target, planned: bool) -> usize {
        let from = self.ms(Instant::now());
        let mut history = self.history();
        history.spans.push(Span {
            target,
            planned,
            from,
            to: Ms::MAX,
        });
        history.spans.len() - 1
    }

    fn close(&self, span: usize) {
        let to = self.ms(Instant::now());
        self.history().spans[span].to = to;
    }

    pub(crate) async fn bring(&self, fault: Fault) -> Result<(), Report<Failure>> {
        let ms = Duration::from_millis;
        match fault {
            Fault::StoreDown(length) => {
                let span = self.open(Target::Store, false);
                self.store.set_down(true);
                tokio::time::sleep(ms(length)).await;
                self.store.set_down(false);
                self.close(span);
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
                let span = self.open_program(program, false);
                let paused = self.process(program).pause(ms(length)).await;
                paused.change_context(Failure::Program)?;
                self.close(span);
            }
            Fault::Kill(program, length) => {
                let span = self.open_program(program, false);
                let killed = self.process(program).kill(ms(length)).await;
                killed.change_context(Failure::Program)?;
                self.close(span);
            }
            Fault::Stop(program) => self.stop_program(program).await?,
            Fault::Reload(entry) => {
                let span = self.open(Target::Entry(entry), true);
                let sent = self.entries[entry].signal(Signal::HUP).await;
                sent.change_context(Failure::Program)?;
                self.close(span);
            }
            Fault::Crash(index, length) => self.crash(index, length).await?,
            Fault::Reuse(index) => self.reuse(index).await?,
            Fault::Drain(index) => self.drain(index).await?,
            Fault::Full(index, length) => {
                self.set_full(index, true).await;
                tokio::time::sleep(ms(length)).await;
                self.set_full(index, false).await;
            }
            Fault::Manifest => {
                let version = self.manifest.fetch_add(1, Ordering::SeqCst) + 1;
                let text = deploy::dated_manifest(version, SLOTS);
                self.store.put_manifest(&text);
                let at = self.ms(Instant::now());
                self.history().configs.push((version, at));
            }
            Fault::Version(index) => self.announce_version(index),
        }
        Ok(())
    }

    async fn harm(&self, target: Target, link: &Proxy, harm: Harm, length: Ms) {
        let span = self.open(target, false);
        link.harm(Some(harm));
        if harm != Harm::Reset {
            tokio::time::sleep(Duration::from_millis(length)).await;
            link.harm(None);
        }
        self.close(span);
    }

    fn process(&self, program: Program) -> &Process {
        match program {
            Program::Entry(index) => &self.entries[index],
            Program::Agent(index) => &self.agents[index],
        }
    }

    fn open_program(&self, program: Program, planned: bool) -> usize {
        match program {
            Program::Entry(index) => self.open(Target::Entry(index), planned),
            Program::Agent(index) => self.open(Target::Runner(index), planned),
        }
    }

    async fn stop_program(&self, program: Program) -> Result<(), Report<Failure>> {
        let span = self.open_program(program, true);
        let limit = Duration::from_millis(BOUNDS.stop);
        let stopped = self.process(program).stop(limit).await;
        if !stopped.change_context(Failure::Program)? {
            let exit = format!("{program} still ran {} ms after SIGTERM", BOUNDS.stop);
            self.history().exits.push(exit);
        }
        self.close(span);
        Ok(())
    }

    async fn set_full(&self, index: usize, full: bool) {
        if let Some(runner) = self.places[index].runner.lock().await.as_ref() {
            runner.set_full(full);
        }
    }

    async fn crash(&self, index: usize, length: Ms) -> Result<(), Report<Failure>> {
        let span = self.open(Target::Runner(index), false);
        let mut place = self.places[index].runner.lock().await;
        if let Some(runner) = place.take() {
            self.lose(runner).await;
        }
        tokio::time::sleep(Duration::from_millis(length)).await;
        *place = Some(self.bear(index, self.service(index)).await?);
        drop(place);
        self.close(span);
        Ok(())
    }

    /// Lets a runner of another service take the address of a crashed one while the membership still
    /// names the latter.
    async fn reuse(&self, index: usize) -> Result<(), Report<Failure>> {
        let span = self.open(Target::Runner(index), false);
        let mut place = self.places[index].runner.lock().await;
        let lost = place.take();
        if let Some(runner) = lost {
            let id = self.end_runner(runner).await;
            let other = self.start_runner(index, "t").await?;
            tokio::time::sleep(REUSE_LAPSE).await;
            self.leave(&id);
            self.announce(index, &other, Phase::Ready);
            tokio::time::sleep(DRAIN_TIME).await;
            self.lose(other).await;
        }
        *place = Some(self.bear(index, self.service(index)).await?);
        drop(place);
        self.close(span);
        Ok(())
    }

    async fn drain(&self, index: usize) -> Result<(), Report<Failure>> {
        let mut place = self.places[index].runner.lock().await;
        if let Some(runner) = place.as_ref() {
            self.announce(index, runner, Phase::Draining);
            let at = self.ms(Instant::now());
            let id = runner.id.clone();
            self.history().leaving.push((id, at));
            tokio::time::sleep(DRAIN_TIME).await;
        }
        if let Some(runner) = place.take() {
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
        let at = self.ms(Instant::now());
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
        let at = self.ms(Instant::now());
        self.history().versions.push((adapter, version, at));
    }
}

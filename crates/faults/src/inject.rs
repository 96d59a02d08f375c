//! What each fault does to the site at the moment at which it occurs.

use crate::case::Injection;
use crate::matrix::Fault;
use crate::matrix::Step;
use crate::platform::Mode;
use crate::world::AtEngine;
use crate::world::Happening;
use crate::world::LONG_LAG;
use crate::world::MS;
use crate::world::Proc;
use crate::world::World;

/// The time before which nothing is injected, so that all processes are ready.
const ARMED: u64 = 1_200 * MS;
/// The length of an outage of table or object store.
const OUTAGE: u64 = 2_000 * MS;
/// The length of a pause that is longer than a lease.
const LONG_PAUSE: u64 = 12_000 * MS;
/// The length of a pause between two steps of an entry.
const SHORT_PAUSE: u64 = 1_500 * MS;
/// The time by which a clock jumps.
const JUMP: u64 = 15_000 * MS;
/// The time after which a process that is gone comes back.
const ABSENCE: u64 = 1_500 * MS;
/// The time for which an engine restarts.
const RESTART: u64 = 300 * MS;
/// The additional time to the first chunk without a prefix cache, in milliseconds.
const COLD_MS: u64 = 300;

/// The processes that a step concerns.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Subject {
    pub(crate) entry: usize,
    pub(crate) agent: usize,
}

impl Subject {
    pub(crate) fn entry(entry: usize) -> Subject {
        Subject { entry, agent: 0 }
    }

    pub(crate) fn agent(agent: usize) -> Subject {
        Subject { entry: 0, agent }
    }

    pub(crate) fn both(entry: usize, agent: usize) -> Subject {
        Subject { entry, agent }
    }

    pub(crate) fn of(proc: Proc) -> Subject {
        match proc {
            Proc::Entry(index) => Subject::entry(index),
            Proc::Agent(pid) => Subject::agent(pid),
        }
    }
}

impl World {
    /// Injects the faults that are planned for this occurrence of a step.
    pub(crate) fn inject_at(&mut self, step: Step, subject: Subject) {
        if self.now < ARMED || !self.plan.iter().any(|item| item.step == step) {
            return;
        }
        let plan = std::mem::take(&mut self.plan);
        for mut item in plan {
            if item.step == step && item.skip == 0 {
                self.inject(item.fault, subject);
                self.injected.push(item);
                continue;
            }
            if item.step == step {
                item.skip -= 1;
            }
            self.plan.push(item);
        }
    }

    fn inject(&mut self, fault: Fault, subject: Subject) {
        let engine = self.engine_of(subject.agent);
        let (entry, agent) = (Proc::Entry(subject.entry), Proc::Agent(subject.agent));
        match fault {
            Fault::EngineRestart => self.restart_engine(engine, RESTART),
            Fault::LoadFails => self.engines[engine].failing += 1,
            Fault::TableDown => self.fail(fault, Mode::Down),
            Fault::TableSlow => self.fail(fault, Mode::Slow),
            Fault::TableLost => self.platform.table_losses += 1,
            Fault::StoreDown => self.fail(fault, Mode::Down),
            Fault::StoreSlow => self.fail(fault, Mode::Slow),
            Fault::StoreLost => self.platform.store_losses += 1,
            Fault::LeaseExpires => self.pause(agent, LONG_PAUSE),
            Fault::EntryPaused => self.pause(entry, SHORT_PAUSE),
            Fault::MessageLost
            | Fault::MessageLate
            | Fault::MessageTwice
            | Fault::MessageSwapped => self.message_faults.push(fault),
            Fault::PeerGone => {
                let peer = match subject.entry {
                    0 => Proc::Entry(1),
                    _ => Proc::Entry(0),
                };
                self.lose(peer);
            }
            Fault::EntryGone => self.lose(entry),
            Fault::AgentGone => self.lose(agent),
            Fault::InstanceReplaced => self.replace(subject.agent),
            Fault::ListLags => {
                self.list_lag = LONG_LAG;
                self.at(LONG_LAG, Happening::Heal(fault));
            }
            Fault::CacheLate | Fault::CacheGap => {
                self.engines[engine].cold_ms = COLD_MS;
                let warm = Happening::Engine(engine, AtEngine::Warm);
                self.at(OUTAGE, warm);
            }
            Fault::PublishConflict => self.at(0, Happening::Publish("9")),
            Fault::PopularityShift => {
                for delay in 0..6 {
                    let route = ["a3", "a2"][delay as usize % 2];
                    self.call(delay * 5 * MS, route, None, false);
                }
            }
            Fault::FencingIgnored => {
                self.engines[engine].checks = false;
                self.replace(subject.agent);
            }
            Fault::ClockJump => {
                self.node_mut(entry).skew += JUMP;
                self.node_mut(agent).skew += JUMP;
            }
        }
    }

    fn fail(&mut self, fault: Fault, mode: Mode) {
        match fault {
            Fault::TableDown | Fault::TableSlow => self.platform.table = mode,
            _ => self.platform.store = mode,
        }
        self.at(OUTAGE, Happening::Heal(fault));
    }

    pub(crate) fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::TableDown | Fault::TableSlow => self.platform.table = Mode::Up,
            Fault::StoreDown | Fault::StoreSlow => self.platform.store = Mode::Up,
            Fault::ListLags => self.list_lag = 500 * MS,
            _ => {}
        }
    }

    fn pause(&mut self, proc: Proc, length: u64) {
        let until = self.now + length;
        let node = self.node_mut(proc);
        node.paused = node.paused.max(until);
    }

    /// Ends a process, which comes back after a while.
    fn lose(&mut self, proc: Proc) {
        if !self.node(proc).up {
            return;
        }
        let back = match proc {
            Proc::Entry(index) => Happening::StartEntry(index),
            Proc::Agent(pid) if self.agents[pid].stopping => return self.kill(proc),
            Proc::Agent(pid) => Happening::StartAgent(self.engine_of(pid)),
        };
        self.kill(proc);
        self.at(ABSENCE, back);
    }

    /// Pauses an agent while another instance takes its name; it resumes after its lease expired.
    fn replace(&mut self, pid: usize) {
        self.pause(Proc::Agent(pid), LONG_PAUSE);
        if !self.agents[pid].stopping {
            let engine = self.engine_of(pid);
            self.at(MS, Happening::StartAgent(engine));
        }
    }

    /// Takes table and object store down, or brings them back.
    pub fn set_storage(&mut self, up: bool) {
        let mode = if up { Mode::Up } else { Mode::Down };
        self.platform.table = mode;
        self.platform.store = mode;
    }

    /// Plans faults at steps.
    pub fn plan(&mut self, injections: &[Injection]) {
        self.plan.extend_from_slice(injections);
    }
}

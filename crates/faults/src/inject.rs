//! Injection of faults into a simulation.

use crate::case::Injection;
use crate::matrix::Fault;
use crate::matrix::Step;
use crate::simulation::EngineEvent;
use crate::simulation::LONG_MEMBERSHIP_LAG;
use crate::simulation::MS;
use crate::simulation::ProcessId;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::storage::Availability;

/// Time before which nothing is injected, so that all processes are ready.
const INJECTION_START: u64 = 1_200 * MS;
/// Length of an outage or slowdown of the table or the object store, and of a cold cache.
const OUTAGE_LENGTH: u64 = 2_000 * MS;
/// Length of a pause that is longer than a lease.
const LONG_PAUSE: u64 = 12_000 * MS;
/// Length of a pause between two steps of an entry.
const SHORT_PAUSE: u64 = 1_500 * MS;
/// Time by which a clock jumps forward.
const CLOCK_JUMP: u64 = 15_000 * MS;
/// Time after which a crashed process restarts.
const PROCESS_DOWNTIME: u64 = 1_500 * MS;
/// Time for which a restarting engine is down.
const ENGINE_DOWNTIME: u64 = 300 * MS;
/// Additional time to the first chunk without a prefix cache.
const COLD_CACHE_DELAY_MS: u64 = 300;

/// The entry index and the agent process number to which a fault at a step applies. Steps without
/// one of them use 0.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultTarget {
    pub(crate) entry: usize,
    pub(crate) agent: usize,
}

impl FaultTarget {
    pub(crate) fn entry(entry: usize) -> FaultTarget {
        FaultTarget { entry, agent: 0 }
    }

    pub(crate) fn agent(agent: usize) -> FaultTarget {
        FaultTarget { entry: 0, agent }
    }

    pub(crate) fn pair(entry: usize, agent: usize) -> FaultTarget {
        FaultTarget { entry, agent }
    }

    pub(crate) fn process(id: ProcessId) -> FaultTarget {
        match id {
            ProcessId::Entry(index) => FaultTarget::entry(index),
            ProcessId::Agent(pid) => FaultTarget::agent(pid),
        }
    }
}

impl Simulation {
    /// Injects the faults that are planned for this occurrence of a step. Does nothing while the
    /// processes start.
    pub(crate) fn inject_at(&mut self, step: Step, target: FaultTarget) {
        if self.now < INJECTION_START
            || !self.planned.iter().any(|injection| injection.step == step)
        {
            return;
        }
        let planned = std::mem::take(&mut self.planned);
        for mut injection in planned {
            if injection.step == step && injection.skip == 0 {
                self.inject(injection.fault, target);
                self.injected.push(injection);
                continue;
            }
            if injection.step == step {
                injection.skip -= 1;
            }
            self.planned.push(injection);
        }
    }

    fn inject(&mut self, fault: Fault, target: FaultTarget) {
        let engine = self.engine_of(target.agent);
        let (entry, agent) = (
            ProcessId::Entry(target.entry),
            ProcessId::Agent(target.agent),
        );
        match fault {
            Fault::EngineRestart => self.restart_engine(engine, ENGINE_DOWNTIME),
            Fault::LoadFails => self.engines[engine].failing_loads += 1,
            Fault::TableDown => self.start_outage(fault, Availability::Down),
            Fault::TableSlow => self.start_outage(fault, Availability::Slow),
            Fault::TableLost => self.storage.lost_table_responses += 1,
            Fault::StoreDown => self.start_outage(fault, Availability::Down),
            Fault::StoreSlow => self.start_outage(fault, Availability::Slow),
            Fault::StoreLost => self.storage.lost_store_responses += 1,
            Fault::LeaseExpires => self.pause(agent, LONG_PAUSE),
            Fault::EntryPaused => self.pause(entry, SHORT_PAUSE),
            Fault::MessageLost
            | Fault::MessageLate
            | Fault::MessageTwice
            | Fault::MessageSwapped => self.message_faults.push(fault),
            Fault::PeerGone => {
                let peer = match target.entry {
                    0 => ProcessId::Entry(1),
                    _ => ProcessId::Entry(0),
                };
                self.crash(peer);
            }
            Fault::EntryGone => self.crash(entry),
            Fault::AgentGone => self.crash(agent),
            Fault::InstanceReplaced => self.replace_instance(target.agent),
            Fault::ListLags => {
                self.membership_lag = LONG_MEMBERSHIP_LAG;
                self.schedule(LONG_MEMBERSHIP_LAG, SimEvent::ClearFault(fault));
            }
            Fault::CacheLate | Fault::CacheGap => {
                self.engines[engine].cold_delay_ms = COLD_CACHE_DELAY_MS;
                let warm = SimEvent::Engine(engine, EngineEvent::CacheWarmed);
                self.schedule(OUTAGE_LENGTH, warm);
            }
            Fault::PublishConflict => self.schedule(0, SimEvent::Publish("9")),
            Fault::PopularityShift => {
                for delay in 0..6 {
                    let route = ["a3", "a2"][delay as usize % 2];
                    self.add_call(delay * 5 * MS, route, None, false);
                }
            }
            Fault::FencingIgnored => {
                self.engines[engine].checks_fencing = false;
                self.replace_instance(target.agent);
            }
            Fault::ClockJump => {
                self.process_mut(entry).clock_skew += CLOCK_JUMP;
                self.process_mut(agent).clock_skew += CLOCK_JUMP;
            }
        }
    }

    fn start_outage(&mut self, fault: Fault, availability: Availability) {
        match fault {
            Fault::TableDown | Fault::TableSlow => self.storage.table_availability = availability,
            _ => self.storage.store_availability = availability,
        }
        self.schedule(OUTAGE_LENGTH, SimEvent::ClearFault(fault));
    }

    pub(crate) fn clear_fault(&mut self, fault: Fault) {
        match fault {
            Fault::TableDown | Fault::TableSlow => {
                self.storage.table_availability = Availability::Up
            }
            Fault::StoreDown | Fault::StoreSlow => {
                self.storage.store_availability = Availability::Up
            }
            Fault::ListLags => self.membership_lag = 500 * MS,
            _ => {}
        }
    }

    fn pause(&mut self, id: ProcessId, length: u64) {
        let until = self.now + length;
        let process = self.process_mut(id);
        process.paused_until = process.paused_until.max(until);
    }

    /// Crashes a process and restarts it after [`PROCESS_DOWNTIME`]; a stopping agent does not come
    /// back.
    fn crash(&mut self, id: ProcessId) {
        if !self.process(id).up {
            return;
        }
        let restart = match id {
            ProcessId::Entry(index) => SimEvent::StartEntry(index),
            ProcessId::Agent(pid) if self.agents[pid].stopping => return self.kill(id),
            ProcessId::Agent(pid) => SimEvent::StartAgent(self.engine_of(pid)),
        };
        self.kill(id);
        self.schedule(PROCESS_DOWNTIME, restart);
    }

    /// Pauses an agent until after its lease expires, and starts another instance with its name,
    /// unless the agent is stopping.
    fn replace_instance(&mut self, pid: usize) {
        self.pause(ProcessId::Agent(pid), LONG_PAUSE);
        if !self.agents[pid].stopping {
            let engine = self.engine_of(pid);
            self.schedule(MS, SimEvent::StartAgent(engine));
        }
    }

    /// Sets whether the table and the object store respond.
    pub fn set_storage_up(&mut self, up: bool) {
        let availability = if up {
            Availability::Up
        } else {
            Availability::Down
        };
        self.storage.table_availability = availability;
        self.storage.store_availability = availability;
    }

    /// Adds faults to inject at their steps.
    pub fn plan_faults(&mut self, injections: &[Injection]) {
        self.planned.extend_from_slice(injections);
    }
}

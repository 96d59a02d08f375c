//! Cases: the calls and operations of one simulation run, and the faults injected into it.

use std::fmt;

use crate::history::Violation;
use crate::matrix::Fault;
use crate::matrix::Flow;
use crate::matrix::Invariant;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::simulation::MS;
use crate::simulation::ProcessId;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Length of a case. All faults but a lagging membership list are over by then.
const CASE_LENGTH: u64 = 22_000 * MS;
/// Time that each long pause after the first adds to a case. Pauses of one process can follow one
/// another, and a process that is still paused at the end cannot have adopted the last generation.
const EXTRA_PAUSE_LENGTH: u64 = 12_000 * MS;
/// Time of the first call; the others follow at intervals of 60 ms.
const FIRST_CALL_TIME: u64 = 1_300 * MS;
/// Time at which the publication, drain or restart under test starts.
const FLOW_START: u64 = 1_500 * MS;
/// Time after which callers repeat their bookings with the same idempotency key.
const REPEAT_DELAY: u64 = 6_000 * MS;
/// Name of the environment variable that selects the case to run, in the form of [`Case::parse`].
pub const CASE_VARIABLE: &str = "FAULTS_CASE";

/// A fault to inject at one occurrence of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Injection {
    /// The step at which the fault is injected.
    pub step: Step,
    /// The fault to inject.
    pub fault: Fault,
    /// The number of earlier occurrences of the step, at which nothing is injected.
    pub skip: u32,
}

/// A deterministic simulation run. Its text form is `SEED,STEP/FAULT/SKIP,...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// The faults to inject.
    pub faults: Vec<Injection>,
    /// The seed of the simulation.
    pub seed: u64,
}

/// The result of a case.
#[derive(Debug)]
pub struct CaseOutcome {
    /// Whether every planned fault was injected. A step can occur too rarely for its `skip`.
    pub all_injected: bool,
    /// The violations of invariants.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Case {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.seed)?;
        for injection in &self.faults {
            write!(
                out,
                ",{}/{}/{}",
                injection.step, injection.fault, injection.skip
            )?;
        }
        Ok(())
    }
}

impl Case {
    /// Returns the case of one fault at the first occurrence of a step, with seed 1.
    pub fn single(step: Step, fault: Fault) -> Case {
        let skip = 0;
        Case {
            faults: vec![Injection { step, fault, skip }],
            seed: 1,
        }
    }

    /// Returns the case of two faults at one step. Different faults are injected at its first
    /// occurrence, and the same fault twice at its first two, if it occurs more than once.
    pub fn pair(step: Step, first: Fault, second: Fault) -> Case {
        let mut case = Case::single(step, first);
        case.faults.push(Injection {
            step,
            fault: second,
            skip: u32::from(first == second && !occurs_once(step)),
        });
        case
    }

    /// Parses the text form of a case. Returns `None` for an invalid text.
    pub fn parse(text: &str) -> Option<Case> {
        let mut parts = text.split(',');
        let seed = parts.next()?.parse().ok()?;
        let parse_injection = |part: &str| {
            let mut words = part.split('/');
            Some(Injection {
                step: Step::parse(words.next()?)?,
                fault: Fault::parse(words.next()?)?,
                skip: words.next()?.parse().ok()?,
            })
        };
        let faults = parts.map(parse_injection).collect::<Option<Vec<_>>>()?;
        Some(Case { faults, seed })
    }

    /// Returns the command that runs this case alone.
    pub fn reproduce_command(&self) -> String {
        format!(
            "{CASE_VARIABLE}={self} cargo test -p faults --test single_faults one_case -- --nocapture"
        )
    }

    /// Runs the case. With a mutant, the code under test contains a deliberate fault.
    pub fn run(&self, mutant: Option<Mutant>) -> CaseOutcome {
        let mut sim = Simulation::new(self.seed, mutant);
        sim.plan_faults(&self.faults);
        let flows = self.faults.iter().map(|injection| injection.step.flow());
        sim.schedule_flows(&flows.collect::<Vec<_>>());
        sim.run_until(self.end());
        let all_injected = sim.injected.len() == self.faults.len();
        let violations = sim.finish().violations();
        CaseOutcome {
            all_injected,
            violations,
        }
    }

    fn end(&self) -> u64 {
        let is_long_pause = |injection: &&Injection| {
            matches!(
                injection.fault,
                Fault::LeaseExpires | Fault::FencingIgnored | Fault::InstanceReplaced
            )
        };
        let long_pauses = self.faults.iter().filter(is_long_pause).count() as u64;
        CASE_LENGTH + long_pauses.saturating_sub(1) * EXTRA_PAUSE_LENGTH
    }

    /// Describes violations, with the command that repeats the case.
    pub fn report(&self, violations: &[Violation]) -> String {
        let mut text = format!("{self}\n  reproduce: {}\n", self.reproduce_command());
        for found in violations {
            text += &format!("  {}: {}\n", found.invariant, found.details);
        }
        text
    }
}

/// Returns whether a step may occur only once per case, so that two faults share the occurrence.
fn occurs_once(step: Step) -> bool {
    matches!(step.flow(), Flow::Publish | Flow::Drain | Flow::Restart)
}

impl Simulation {
    /// Schedules calls to all routes, and the operations and further calls that `flows` need.
    pub fn schedule_flows(&mut self, flows: &[Flow]) {
        let routes = [
            "a0", "order", "a1", "pay", "a2", "order", "a3", "a0", "pay", "a1",
        ];
        for (index, route) in (0u64..).zip(routes) {
            let delay = FIRST_CALL_TIME + index * 60 * MS;
            let is_booking = matches!(route, "order" | "pay");
            let key = is_booking.then(|| format!("key{index}"));
            self.add_call(delay, route, key.as_deref(), index % 3 == 0);
            if is_booking {
                self.add_call(REPEAT_DELAY + delay, route, key.as_deref(), false);
            }
        }
        if flows.contains(&Flow::Publish) || flows.contains(&Flow::Adopt) {
            self.schedule(FLOW_START, SimEvent::Publish("2"));
        }
        if flows.contains(&Flow::Drain) {
            self.schedule(FLOW_START, SimEvent::StopAgent(0));
            // These run at an engine when the agent is told to stop, so that it has to wait for
            // them.
            for index in 0..8 {
                let route = ["a0", "a1", "a2", "a3"][index as usize % 4];
                self.add_call(FLOW_START - 240 * MS + index * 30 * MS, route, None, false);
            }
            // These are in transit when the agent is told to stop, so that it has to refuse some.
            for index in 0..8 {
                let route = ["a0", "a1", "a2", "a3"][index as usize % 4];
                self.add_call(FLOW_START + index * MS, route, None, false);
            }
            for index in 0..20 {
                let route = ["a0", "a1", "a2", "a3"][index as usize % 4];
                self.add_call(FLOW_START + index * 200 * MS, route, None, index % 2 == 0);
            }
        }
        if flows.contains(&Flow::Restart) {
            self.schedule(FLOW_START, SimEvent::KillProcess(ProcessId::Agent(0)));
            self.schedule(FLOW_START + 100 * MS, SimEvent::StartAgent(0));
        }
    }
}

/// Runs the cases on all processors and returns the reports of those that violate an invariant.
pub fn run_all(cases: &[Case]) -> Vec<String> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let batch = cases.len().div_ceil(threads).max(1);
    let run = |case: &Case| {
        let found = case.run(None).violations;
        (!found.is_empty()).then(|| case.report(&found))
    };
    std::thread::scope(|scope| {
        let parts = cases.chunks(batch);
        let tasks: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().filter_map(run).collect::<Vec<_>>()))
            .collect();
        let reports = tasks.into_iter().map(|task| task.join());
        reports
            .flat_map(|reports| reports.expect("no case panics"))
            .collect()
    })
}

/// Returns whether the list contains a violation of the invariant.
pub fn violates(violations: &[Violation], invariant: Invariant) -> bool {
    violations.iter().any(|found| found.invariant == invariant)
}

//! One case: a script for the flow of its steps, with faults injected.

use std::fmt;

use crate::matrix::Fault;
use crate::matrix::Flow;
use crate::matrix::Invariant;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::record::Violation;
use crate::world::Happening;
use crate::world::MS;
use crate::world::Proc;
use crate::world::World;

/// The end of a case, in microseconds. The longest fault except a lagging list is over by then.
const END: u64 = 22_000 * MS;
/// What each further long pause adds to a case: pauses of one process can follow one another, and a
/// process that is still paused at the end cannot have adopted anything.
const FURTHER_PAUSE: u64 = 12_000 * MS;
/// The time of the first call.
const FIRST_CALL: u64 = 1_300 * MS;
/// The time at which the flow under test begins.
const BEGIN: u64 = 1_500 * MS;
/// The time after which callers repeat bookings that had no definite answer.
const REPEAT: u64 = 6_000 * MS;
/// The name of the variable that selects one case.
pub const CASE: &str = "FAULTS_CASE";

/// A fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Injection {
    /// The step.
    pub step: Step,
    /// The fault.
    pub fault: Fault,
    /// The number of occurrences of the step before it.
    pub skip: u32,
}

/// One case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// The faults.
    pub faults: Vec<Injection>,
    /// The seed.
    pub seed: u64,
}

/// What a case showed.
#[derive(Debug)]
pub struct Outcome {
    /// Whether every fault was injected.
    pub reached: bool,
    /// The broken invariants.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Case {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.seed)?;
        for item in &self.faults {
            write!(out, ",{}/{}/{}", item.step, item.fault, item.skip)?;
        }
        Ok(())
    }
}

impl Case {
    /// Returns the case of one fault at one step.
    pub fn single(step: Step, fault: Fault) -> Case {
        let skip = 0;
        Case {
            faults: vec![Injection { step, fault, skip }],
            seed: 1,
        }
    }

    /// Returns the case of two faults at one step; the same fault occurs at two occurrences of it.
    pub fn pair(step: Step, first: Fault, second: Fault) -> Case {
        let mut case = Case::single(step, first);
        case.faults.push(Injection {
            step,
            fault: second,
            skip: u32::from(first == second && !is_rare(step)),
        });
        case
    }

    /// Returns the case that [`Case`]'s text stands for.
    pub fn parse(text: &str) -> Option<Case> {
        let mut parts = text.split(',');
        let seed = parts.next()?.parse().ok()?;
        let item = |part: &str| {
            let mut words = part.split('/');
            Some(Injection {
                step: Step::parse(words.next()?)?,
                fault: Fault::parse(words.next()?)?,
                skip: words.next()?.parse().ok()?,
            })
        };
        let faults = parts.map(item).collect::<Option<Vec<_>>>()?;
        Some(Case { faults, seed })
    }

    /// Returns the command that runs this case alone.
    pub fn command(&self) -> String {
        format!("{CASE}={self} cargo test -p faults --test single_faults one_case -- --nocapture")
    }

    /// Runs the case.
    pub fn run(&self, mutant: Option<Mutant>) -> Outcome {
        let mut world = World::new(self.seed, mutant);
        world.plan(&self.faults);
        let flows = self.faults.iter().map(|item| item.step.flow());
        world.script(&flows.collect::<Vec<_>>());
        world.run(self.end());
        let reached = world.injected.len() == self.faults.len();
        let violations = world.finish().violations();
        Outcome {
            reached,
            violations,
        }
    }

    fn end(&self) -> u64 {
        let long = |item: &&Injection| {
            matches!(
                item.fault,
                Fault::LeaseExpires | Fault::FencingIgnored | Fault::InstanceReplaced
            )
        };
        let pauses = self.faults.iter().filter(long).count() as u64;
        END + pauses.saturating_sub(1) * FURTHER_PAUSE
    }

    /// Returns a description of the broken invariants, with the command that repeats the case.
    pub fn report(&self, violations: &[Violation]) -> String {
        let mut text = format!("{self}\n  repeat: {}\n", self.command());
        for found in violations {
            text += &format!("  {}: {}\n", found.invariant, found.text);
        }
        text
    }
}

/// Returns whether a step occurs once per case, so that two faults have to share the occurrence.
fn is_rare(step: Step) -> bool {
    matches!(step.flow(), Flow::Publish | Flow::Drain | Flow::Restart)
}

impl World {
    /// Schedules callers and what the flows under test need.
    pub fn script(&mut self, flows: &[Flow]) {
        let routes = [
            "a0", "order", "a1", "pay", "a2", "order", "a3", "a0", "pay", "a1",
        ];
        for (index, route) in (0u64..).zip(routes) {
            let delay = FIRST_CALL + index * 60 * MS;
            let booking = matches!(route, "order" | "pay");
            let key = booking.then(|| format!("key{index}"));
            self.call(delay, route, key.as_deref(), index % 3 == 0);
            if booking {
                self.call(REPEAT + delay, route, key.as_deref(), false);
            }
        }
        if flows.contains(&Flow::Publish) || flows.contains(&Flow::Adopt) {
            self.at(BEGIN, Happening::Publish("2"));
        }
        if flows.contains(&Flow::Drain) {
            self.at(BEGIN, Happening::Stop(0));
            // These are at an engine when the agent is told, so that it has to wait for some.
            for index in 0..8 {
                let route = ["a0", "a1", "a2", "a3"][index as usize % 4];
                self.call(BEGIN - 240 * MS + index * 30 * MS, route, None, false);
            }
            // These are on their way when the agent is told, so that it has to refuse some.
            for index in 0..8 {
                let route = ["a0", "a1", "a2", "a3"][index as usize % 4];
                self.call(BEGIN + index * MS, route, None, false);
            }
            for index in 0..20 {
                let route = ["a0", "a1", "a2", "a3"][index as usize % 4];
                self.call(BEGIN + index * 200 * MS, route, None, index % 2 == 0);
            }
        }
        if flows.contains(&Flow::Restart) {
            self.at(BEGIN, Happening::Kill(Proc::Agent(0)));
            self.at(BEGIN + 100 * MS, Happening::StartAgent(0));
        }
    }
}

/// Runs the cases on all processors and returns the reports of those that break an invariant.
pub fn failures(cases: &[Case]) -> Vec<String> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let share = cases.len().div_ceil(threads).max(1);
    let run = |case: &Case| {
        let found = case.run(None).violations;
        (!found.is_empty()).then(|| case.report(&found))
    };
    std::thread::scope(|scope| {
        let parts = cases.chunks(share);
        let tasks: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().filter_map(run).collect::<Vec<_>>()))
            .collect();
        let reports = tasks.into_iter().map(|task| task.join());
        reports
            .flat_map(|reports| reports.expect("no case panics"))
            .collect()
    })
}

/// Returns whether a list of violations has one of this invariant.
pub fn breaks(violations: &[Violation], invariant: Invariant) -> bool {
    violations.iter().any(|found| found.invariant == invariant)
}

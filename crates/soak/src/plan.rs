//! Which faults happen when; follows from the seed alone.

use derive_more::Display;

use crate::history::Ms;

/// The size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Runners with an engine, each with an agent.
    pub engines: usize,
    /// Plain runners.
    pub plain: usize,
    /// Callers.
    pub callers: usize,
}

impl Size {
    /// The usual size.
    pub const USUAL: Size = Size {
        entries: 3,
        engines: 4,
        plain: 3,
        callers: 12,
    };

    /// Returns the size with so many times as many of everything.
    pub fn times(self, scale: usize) -> Size {
        Size {
            entries: self.entries * scale,
            engines: self.engines * scale,
            plain: self.plain * scale,
            callers: self.callers * scale,
        }
    }

    /// Returns all runners.
    pub fn runners(self) -> usize {
        self.engines + self.plain
    }
}

/// A program of the system.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Program {
    /// An entry.
    #[display("entry {_0}")]
    Entry(usize),
    /// The agent of the engine at this position.
    #[display("agent {_0}")]
    Agent(usize),
}

/// What a disturbed link does with data.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Harm {
    /// Holds it back.
    #[display("delayed by {_0} ms")]
    Delay(Ms),
    /// Drops it in both directions, new connections included.
    #[display("silent")]
    Silence,
    /// Drops what comes back.
    #[display("one-way")]
    OneWay,
    /// Resets all connections, once.
    #[display("reset")]
    Reset,
}

/// One fault; times are in milliseconds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The store refuses all calls.
    #[display("store down for {_0} ms")]
    StoreDown(Ms),
    /// The store forgets its history.
    #[display("store history forgotten")]
    HistoryGone,
    /// The link from an entry to the store is disturbed.
    #[display("store link of entry {_0} {_1} for {_2} ms")]
    StoreLink(usize, Harm, Ms),
    /// The link to a runner is disturbed.
    #[display("link to runner {_0} {_1} for {_2} ms")]
    RunnerLink(usize, Harm, Ms),
    /// The link to an agent is disturbed.
    #[display("link to agent {_0} {_1} for {_2} ms")]
    AgentLink(usize, Harm, Ms),
    /// A program is stopped by SIGSTOP and goes on after this time.
    #[display("{_0} paused for {_1} ms")]
    Pause(Program, Ms),
    /// A program is killed and starts again after this time.
    #[display("{_0} killed for {_1} ms")]
    Kill(Program, Ms),
    /// A program gets SIGTERM and starts again when it has ended.
    #[display("{_0} stopped")]
    Stop(Program),
    /// An entry gets SIGHUP.
    #[display("entry {_0} reloads")]
    Reload(usize),
    /// A runner crashes and starts again, empty, after this time.
    #[display("runner {_0} crashes for {_1} ms")]
    Crash(usize, Ms),
    /// A runner crashes, and one of another service takes its address.
    #[display("runner {_0} loses its address")]
    Reuse(usize),
    /// A runner announces that it leaves, finishes, and starts again.
    #[display("runner {_0} drains")]
    Drain(usize),
    /// A runner turns every request away for this time.
    #[display("runner {_0} full for {_1} ms")]
    Full(usize, Ms),
    /// A new manifest.
    #[display("new manifest")]
    Manifest,
    /// A new version of an adapter.
    #[display("new version of adapter {_0}")]
    Version(usize),
}

/// The adapters that requests name.
pub const ADAPTERS: usize = 12;
/// The time before the first fault, in which the system settles.
const CALM_MS: Ms = 1_500;
/// The pauses between faults.
const PAUSES_MS: std::ops::Range<Ms> = 100..900;
/// How long faults last.
const SHORT_MS: std::ops::Range<Ms> = 300..1_500;
const LONG_MS: std::ops::Range<Ms> = 1_500..4_500;

/// Returns the faults of a run of this length with their times, in the order of time.
pub fn plan(seed: u64, length: Ms, size: Size) -> Vec<(Ms, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = CALM_MS;
    let mut faults = Vec::new();
    while at < length {
        faults.push((at, fault(&mut rng, size)));
        at += rng.u64(PAUSES_MS);
    }
    faults
}

fn fault(rng: &mut fastrand::Rng, size: Size) -> Fault {
    let short = rng.u64(SHORT_MS);
    let long = rng.u64(LONG_MS);
    let entry = rng.usize(..size.entries);
    let agent = rng.usize(..size.engines);
    let runner = rng.usize(..size.runners());
    let program = if rng.bool() {
        Program::Entry(entry)
    } else {
        Program::Agent(agent)
    };
    match rng.u32(..32) {
        0 => Fault::StoreDown(long),
        1 => Fault::HistoryGone,
        2 | 3 => Fault::StoreLink(entry, harm(rng), long),
        4..=6 => Fault::RunnerLink(runner, harm(rng), short),
        7 => Fault::AgentLink(agent, harm(rng), short),
        8 | 9 => Fault::Pause(program, short),
        10 => Fault::Pause(program, long),
        11 | 12 => Fault::Kill(program, short),
        13..=15 => Fault::Stop(program),
        16 => Fault::Reload(entry),
        17 | 18 => Fault::Crash(runner, short),
        19..=21 => Fault::Reuse(runner),
        22 | 23 => Fault::Drain(runner),
        24..=26 => Fault::Manifest,
        27 | 28 => Fault::Full(runner, long),
        _ => Fault::Version(rng.usize(..ADAPTERS)),
    }
}

fn harm(rng: &mut fastrand::Rng) -> Harm {
    match rng.u32(..4) {
        0 => Harm::Delay(rng.u64(20..400)),
        1 => Harm::Silence,
        2 => Harm::OneWay,
        _ => Harm::Reset,
    }
}

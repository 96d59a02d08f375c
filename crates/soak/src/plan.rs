//! The fault schedule of a run, which depends on nothing but the seed, the length and the size.

use derive_more::Display;

use crate::history::Ms;

/// The numbers of programs, runners and callers in a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentSize {
    /// The number of entries.
    pub entries: usize,
    /// The number of runners with an engine, each of which has an agent.
    pub engines: usize,
    /// The number of runners without an engine or an agent.
    pub plain: usize,
    /// The number of concurrent callers.
    pub callers: usize,
}

impl DeploymentSize {
    /// The size at scale 1.
    pub const DEFAULT: DeploymentSize = DeploymentSize {
        entries: 3,
        engines: 4,
        plain: 3,
        callers: 12,
    };

    /// Multiplies all numbers by `scale`.
    pub fn scaled(self, scale: usize) -> DeploymentSize {
        DeploymentSize {
            entries: self.entries * scale,
            engines: self.engines * scale,
            plain: self.plain * scale,
            callers: self.callers * scale,
        }
    }

    /// Returns the number of runners with and without an engine.
    pub fn runners(self) -> usize {
        self.engines + self.plain
    }
}

/// A program under test, by its index among the programs of its kind.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Program {
    /// The process that accepts callers.
    #[display("entry {_0}")]
    Entry(usize),
    /// The agent of the engine at this position.
    #[display("agent {_0}")]
    Agent(usize),
}

/// A fault of a network link.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LinkFault {
    /// Every chunk of data is delayed, in milliseconds.
    #[display("delayed by {_0} ms")]
    Delay(Ms),
    /// No data passes in either direction, and new connections are not forwarded.
    #[display("silent")]
    Partition,
    /// No data passes from the server to the client.
    #[display("one-way")]
    OneWay,
    /// All connections are reset, once.
    #[display("reset")]
    Reset,
}

/// A fault or change that is injected into a run. A `usize` is the index of an entry, agent, runner
/// or adapter, and an [`Ms`] the duration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The store fails all calls.
    #[display("store down for {_0} ms")]
    StoreDown(Ms),
    /// The store discards its history of changes, so that entries must read all rows again.
    #[display("store history forgotten")]
    StoreHistoryLost,
    /// The store comes back from a copy of this age, after it was down for this time. What operators and
    /// runners had written since is written again.
    #[display("store restored from a copy {_0} ms old, after {_1} ms")]
    StoreRestored(Ms, Ms),
    /// The link from an entry to the store is faulty.
    #[display("store link of entry {_0} {_1} for {_2} ms")]
    StoreLink(usize, LinkFault, Ms),
    /// One of the connections from an entry to the store delivers nothing further, without being closed; the
    /// number selects it.
    #[display("store connection {_1} of entry {_0} muted")]
    StoreConnectionMuted(usize, u64),
    /// The link from entries to a runner is faulty.
    #[display("link to runner {_0} {_1} for {_2} ms")]
    RunnerLink(usize, LinkFault, Ms),
    /// The link from entries to an agent is faulty.
    #[display("link to agent {_0} {_1} for {_2} ms")]
    AgentLink(usize, LinkFault, Ms),
    /// A program is suspended by SIGSTOP and resumed by SIGCONT.
    #[display("{_0} paused for {_1} ms")]
    Pause(Program, Ms),
    /// A program is killed and started again after this time.
    #[display("{_0} killed for {_1} ms")]
    Kill(Program, Ms),
    /// A program gets SIGTERM and is started again after its exit.
    #[display("{_0} stopped")]
    Stop(Program),
    /// An entry gets SIGHUP.
    #[display("entry {_0} reloads")]
    Reload(usize),
    /// A runner crashes, and starts after this time without the adapters it had loaded.
    #[display("runner {_0} crashes for {_1} ms")]
    RunnerCrash(usize, Ms),
    /// A runner crashes, and a runner of another service takes its address.
    #[display("runner {_0} loses its address")]
    AddressReuse(usize),
    /// A runner is announced as draining, stops, and starts again.
    #[display("runner {_0} drains")]
    RunnerDrain(usize),
    /// A runner rejects all requests.
    #[display("runner {_0} full for {_1} ms")]
    RunnerFull(usize, Ms),
    /// The next version of the manifest is stored, with this idle limit for connections of callers.
    #[display("new manifest, idle limit {_0} ms")]
    NewManifest(Ms),
    /// The next version of an adapter is announced.
    #[display("new version of adapter {_0}")]
    NewAdapterVersion(usize),
    /// A runner names a limit, in requests per second.
    #[display("runner {_0} limits to {_1} a second for {_2} ms")]
    RunnerLimit(usize, u32, Ms),
    /// A runner says in its responses that it leaves while its record says ready, and then stops.
    #[display("runner {_0} says that it leaves")]
    RunnerLeaving(usize),
    /// A runner turns requests away and wants none for this time.
    #[display("runner {_0} pauses for {_1} ms")]
    RunnerPause(usize, Ms),
    /// A runner is silent as a whole and goes on; nothing is lost.
    #[display("runner {_0} silent for {_1} ms")]
    RunnerSilent(usize, Ms),
    /// A runner is silent for a while within some of its answers, for this time.
    #[display("answers of runner {_0} silent at times for {_1} ms")]
    AnswersSilent(usize, Ms),
    /// A request on which plain runners crash comes again and again.
    #[display("request {_0:x} is deadly for {_1} ms")]
    DeadlyRequest(u64, Ms),
    /// Some requests have a prompt part on which runners crash.
    #[display("prompt part {_0:x} is deadly for {_1} ms")]
    DeadlyPart(u64, Ms),
}

/// The number of different adapters that requests name.
pub const ADAPTERS: usize = 12;
/// The time of the first fault; the programs start before it.
const FIRST_FAULT_MS: Ms = 1_500;
/// The range of intervals between the starts of two faults.
const FAULT_INTERVAL_MS: std::ops::Range<Ms> = 100..900;
/// The ranges of fault durations.
const SHORT_FAULT_MS: std::ops::Range<Ms> = 300..1_500;
const LONG_FAULT_MS: std::ops::Range<Ms> = 1_500..4_500;

/// The interval in which one prompt part, and one request, becomes deadly, and the range of times for
/// which it is.
const DEADLY_INTERVAL_MS: Ms = 10_000;
const DEADLY_MS: std::ops::Range<Ms> = 9_000..16_000;
/// The number of the first deadly part.
const FIRST_DEADLY_PART: u64 = 0xd001;
/// The number of the first deadly request; the numbers of deadly parts are lower.
pub const FIRST_DEADLY_REQUEST: u64 = 0xe001;
/// The range of intervals between two runners that begin to say something of themselves.
const NOTICE_INTERVAL_MS: std::ops::Range<Ms> = 1_000..4_000;
/// The ranges of the limits that runners name, in requests per second, and of the times.
const NOTICE_LIMIT: std::ops::Range<u32> = 1..8;
const NOTICE_LIMIT_MS: std::ops::Range<Ms> = 6_000..14_000;
const NOTICE_PAUSE_MS: std::ops::Range<Ms> = 1_500..4_000;
/// The ranges of intervals between two silences of runners, of the lengths of those of whole runners, and
/// of the times in which answers have some.
const SILENCE_INTERVAL_MS: std::ops::Range<Ms> = 400..1_800;
const SILENCE_MS: std::ops::Range<Ms> = 300..2_000;
const SILENT_ANSWERS_MS: std::ops::Range<Ms> = 2_000..6_000;
/// Separates the random numbers of the silences from those of other faults.
const SILENCE_SEED: u64 = 0x51eb;
/// The range of intervals between two mutes of connections to the store. An entry must be up to date again
/// before the next one.
const MUTE_INTERVAL_MS: std::ops::Range<Ms> = 6_000..12_000;
/// Separates the random numbers of the mutes from those of other faults.
const MUTE_SEED: u64 = 0x3107;
/// The range of intervals between two restores of the store, of the ages of its copies, and of the times
/// for which it is down before. Half of the restores show in the store's answers only.
const RESTORE_INTERVAL_MS: std::ops::Range<Ms> = 4_000..12_000;
const RESTORE_AGE_MS: std::ops::Range<Ms> = 300..9_000;
const RESTORE_DOWN_MS: std::ops::Range<Ms> = 200..2_500;
/// Separates the random numbers of the restores from those of other faults.
const RESTORE_SEED: u64 = 0xc0b1;
/// The ranges of idle limits of connections of callers, which manifests raise and lower in turns.
const SHORT_IDLE_MS: std::ops::Range<Ms> = 600..1_200;
const LONG_IDLE_MS: std::ops::Range<Ms> = 1_800..3_000;
/// Separates the random numbers of the idle limits from those of faults.
const IDLE_SEED: u64 = 0x1d1e;
/// Separates the random numbers of the notices from those of other faults.
const NOTICE_SEED: u64 = 0x5a1d;
/// Separates the random numbers of the deadly parts from those of other faults.
const DEADLY_SEED: u64 = 0xdead;

/// Returns the path of a deadly request. Every other one may not be repeated.
pub fn deadly_path(number: u64) -> String {
    let route = if number.is_multiple_of(2) {
        "safe"
    } else {
        "once"
    };
    format!("/{route}/x?deadly={number:x}")
}

/// Returns the number of the deadly request with this path.
pub fn deadly_number(path: &str) -> Option<u64> {
    let (_, number) = path.rsplit_once('=')?;
    u64::from_str_radix(number, 16).ok()
}

/// Returns the idle limit of the first manifest.
pub fn first_idle_limit(seed: u64) -> Ms {
    idle_limits(seed)()
}

fn idle_limits(seed: u64) -> impl FnMut() -> Ms {
    let mut rng = fastrand::Rng::with_seed(seed ^ IDLE_SEED);
    let mut ranges = [SHORT_IDLE_MS, LONG_IDLE_MS];
    move || {
        let limit = rng.u64(ranges[0].clone());
        ranges.swap(0, 1);
        limit
    }
}

/// Returns the faults that start before `length`, in the order of their start times. A longer run
/// with the same seed begins with the same faults.
pub fn fault_schedule(seed: u64, length: Ms, size: DeploymentSize) -> Vec<(Ms, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut next_limit = idle_limits(seed);
    // That of the first manifest.
    next_limit();
    let mut at = FIRST_FAULT_MS;
    let mut faults = Vec::new();
    while at < length {
        faults.push((at, random_fault(&mut rng, &mut next_limit, size)));
        at += rng.u64(FAULT_INTERVAL_MS);
    }
    faults.extend(deadly(
        seed ^ DEADLY_SEED,
        length,
        FIRST_DEADLY_PART,
        Fault::DeadlyPart,
    ));
    let seed_of_requests = seed ^ DEADLY_SEED ^ FIRST_DEADLY_REQUEST;
    faults.extend(deadly(
        seed_of_requests,
        length,
        FIRST_DEADLY_REQUEST,
        Fault::DeadlyRequest,
    ));
    faults.extend(notices(seed, length, size));
    faults.extend(restores(seed, length));
    faults.extend(silences(seed, length, size));
    faults.extend(mutes(seed, length, size));
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Returns the parts or requests that become deadly, with rising numbers.
fn deadly(seed: u64, length: Ms, first: u64, fault: impl Fn(u64, Ms) -> Fault) -> Vec<(Ms, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut from = FIRST_FAULT_MS;
    while from < length {
        let at = from + rng.u64(..DEADLY_INTERVAL_MS / 4);
        let number = first + faults.len() as u64;
        let fault = fault(number, rng.u64(DEADLY_MS));
        if at < length {
            faults.push((at, fault));
        }
        from += DEADLY_INTERVAL_MS;
    }
    faults
}

fn restores(seed: u64, length: Ms) -> Vec<(Ms, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ RESTORE_SEED);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT_MS + rng.u64(RESTORE_INTERVAL_MS) / 2;
    while at < length {
        let age = rng.u64(RESTORE_AGE_MS);
        let down = if rng.bool() {
            rng.u64(RESTORE_DOWN_MS)
        } else {
            0
        };
        faults.push((at, Fault::StoreRestored(age, down)));
        at += rng.u64(RESTORE_INTERVAL_MS);
    }
    faults
}

fn notices(seed: u64, length: Ms, size: DeploymentSize) -> Vec<(Ms, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ NOTICE_SEED);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT_MS;
    while at < length {
        let runner = rng.usize(..size.runners());
        let fault = match rng.u32(..4) {
            0 => Fault::RunnerLeaving(runner),
            1 => Fault::RunnerPause(runner, rng.u64(NOTICE_PAUSE_MS)),
            _ => Fault::RunnerLimit(runner, rng.u32(NOTICE_LIMIT), rng.u64(NOTICE_LIMIT_MS)),
        };
        faults.push((at, fault));
        at += rng.u64(NOTICE_INTERVAL_MS);
    }
    faults
}

/// Returns connections to the store that are muted: one of one entry, or one of each at the same moment.
fn mutes(seed: u64, length: Ms, size: DeploymentSize) -> Vec<(Ms, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ MUTE_SEED);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT_MS + rng.u64(MUTE_INTERVAL_MS) / 2;
    while at < length {
        let one = rng.usize(..size.entries);
        let entries = if rng.bool() {
            one..one + 1
        } else {
            0..size.entries
        };
        let muted = entries.map(|entry| (at, Fault::StoreConnectionMuted(entry, rng.u64(..))));
        faults.extend(muted);
        at += rng.u64(MUTE_INTERVAL_MS);
    }
    faults
}

/// Returns silences of one, some or all runners of a service at the same moment.
fn silences(seed: u64, length: Ms, size: DeploymentSize) -> Vec<(Ms, Fault)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ SILENCE_SEED);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT_MS + rng.u64(SILENCE_INTERVAL_MS) / 2;
    while at < length {
        let mut runners: Vec<usize> = if rng.bool() {
            (0..size.engines).collect()
        } else {
            (size.engines..size.runners()).collect()
        };
        rng.shuffle(&mut runners);
        let count = match rng.u32(..3) {
            0 => 1,
            1 => rng.usize(1..=runners.len()),
            _ => runners.len(),
        };
        let whole = rng.bool();
        let silence = rng.u64(SILENCE_MS);
        let period = rng.u64(SILENT_ANSWERS_MS);
        let faults_of = runners.into_iter().take(count).map(|runner| {
            if whole {
                (at, Fault::RunnerSilent(runner, silence))
            } else {
                (at, Fault::AnswersSilent(runner, period))
            }
        });
        faults.extend(faults_of);
        at += rng.u64(SILENCE_INTERVAL_MS);
    }
    faults
}

fn random_fault(
    rng: &mut fastrand::Rng,
    next_limit: &mut impl FnMut() -> Ms,
    size: DeploymentSize,
) -> Fault {
    let short = rng.u64(SHORT_FAULT_MS);
    let long = rng.u64(LONG_FAULT_MS);
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
        1 => Fault::StoreHistoryLost,
        2 | 3 => Fault::StoreLink(entry, link_fault(rng), long),
        4..=6 => Fault::RunnerLink(runner, link_fault(rng), short),
        7 => Fault::AgentLink(agent, link_fault(rng), short),
        8 | 9 => Fault::Pause(program, short),
        10 => Fault::Pause(program, long),
        11 | 12 => Fault::Kill(program, short),
        13..=15 => Fault::Stop(program),
        16 => Fault::Reload(entry),
        17 | 18 => Fault::RunnerCrash(runner, short),
        19..=21 => Fault::AddressReuse(runner),
        22 | 23 => Fault::RunnerDrain(runner),
        24..=26 => Fault::NewManifest(next_limit()),
        27 | 28 => Fault::RunnerFull(runner, long),
        _ => Fault::NewAdapterVersion(rng.usize(..ADAPTERS)),
    }
}

fn link_fault(rng: &mut fastrand::Rng) -> LinkFault {
    match rng.u32(..4) {
        0 => LinkFault::Delay(rng.u64(20..400)),
        1 => LinkFault::Partition,
        2 => LinkFault::OneWay,
        _ => LinkFault::Reset,
    }
}

//! A fleet of runners that crash on deadly prompt parts, with the evidence that its entries and agents
//! exchange, in simulated time and without a network.

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use serving::crash_reports::BrokenAttempt;
use serving::crash_reports::CrashReports;
use serving::quarantine::Admission;
use serving::quarantine::Crash;
use serving::quarantine::Quarantine;
use serving::request::PartId;

/// The bound within which entries must have heard of a crash, in milliseconds.
pub(crate) const CONTACT_MS: u64 = 3_000;
const STEP_MS: u64 = 5;
/// The time from the arrival of a request at a runner to the begin of its answer.
const PREFILL_MS: u64 = 100;
/// The time until a crashed runner is back.
const RESTART_MS: u64 = 3_300;
/// The time until an agent finds its runner's port closed.
const DETECTION_MS: u64 = 60;
/// The delay of a message between an entry and an agent.
const MESSAGE_MS: u64 = 10;
const ATTEMPTS: u32 = 2;
const ENTRIES: usize = 5;
const RUNNERS: usize = 12;
const CALLERS: u64 = 400;
const ROUTE: PartId = PartId(1);

/// What happens on a simulated day.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Day {
    /// Requests per second.
    pub(crate) rate: u64,
    /// The share of the requests that have a deadly part.
    pub(crate) share: f64,
    /// The number of different deadly parts.
    pub(crate) deadly: u64,
    /// Whether the head of the answer arrives before the crash.
    pub(crate) begins: bool,
    /// Crashes for other reasons, per second.
    pub(crate) other_crashes: f64,
    /// Whether requests with the deadly parts are answered at first.
    pub(crate) turns_deadly: bool,
    /// Whether all entries start again after a while.
    pub(crate) restart: bool,
}

impl Day {
    /// A day with one deadly part in one of twenty requests.
    pub(crate) const DEFAULT: Day = Day {
        rate: 190,
        share: 0.05,
        deadly: 1,
        begins: true,
        other_crashes: 0.0,
        turns_deadly: false,
        restart: false,
    };
}

/// What came of a simulated day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Crashes by deadly parts.
    pub(crate) crashes: u32,
    /// For each deadly part, the requests that reached runners later than the contact bound after its
    /// fifth crash.
    pub(crate) late: Vec<u32>,
    /// Sound requests that were sent at once while a runner was up, and all of them, after twice the
    /// contact bound.
    pub(crate) sound_sent: u32,
    pub(crate) sound: u32,
}

struct Request {
    entry: usize,
    parts: Vec<PartId>,
    deadly: Option<u64>,
    attempts: u32,
    canary: Vec<PartId>,
}

struct RunningRequest {
    request: Request,
    answers_at: u64,
}

struct Runner {
    reports: CrashReports,
    born: u64,
    back_at: Option<u64>,
    detected: bool,
    running: Vec<RunningRequest>,
}

enum Message {
    Broken(usize, BrokenAttempt),
    Vouch(usize, u64, Vec<PartId>),
    Crash(usize, Crash),
    Served(Vec<PartId>),
}

struct Sim {
    now: u64,
    day: Day,
    rng: fastrand::Rng,
    entries: Vec<Quarantine>,
    runners: Vec<Runner>,
    messages: Vec<(u64, Message)>,
    /// The holds in the platform's store: their ends and levels.
    holds: Map<PartId, (Time, u32)>,
    /// The times of the crashes by each deadly part.
    crashed_at: Vec<Vec<u64>>,
    outcome: Outcome,
}

/// Runs the fleet from its start, with the random choices of a seed.
pub(crate) fn play(day: Day, seed: u64, length: Duration) -> Outcome {
    let runner = |index| Runner {
        reports: CrashReports::default(),
        born: index as u64,
        back_at: None,
        detected: false,
        running: Vec::new(),
    };
    let mut sim = Sim {
        now: 0,
        day,
        rng: fastrand::Rng::with_seed(seed),
        entries: (0..ENTRIES).map(|_| Quarantine::default()).collect(),
        runners: (0..RUNNERS).map(runner).collect(),
        messages: Vec::new(),
        holds: Map::default(),
        crashed_at: vec![Vec::new(); day.deadly as usize],
        outcome: Outcome {
            late: vec![0; day.deadly as usize],
            ..Outcome::default()
        },
    };
    let length = length.as_millis() as u64;
    while sim.now < length {
        sim.step();
        if day.restart && sim.now == length / 2 {
            sim.restart_entries();
        }
    }
    sim.outcome
}

impl Sim {
    fn time(&self) -> Time {
        Time::from_ms(self.now)
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.deliver_messages();
        self.restart_runners();
        let per_step = self.day.rate as f64 * STEP_MS as f64 / 1_000.0;
        let count = per_step as u32 + u32::from(self.rng.f64() < per_step.fract());
        for _ in 0..count {
            let request = self.draw_request();
            self.send(request, true);
        }
        if self.rng.f64() < self.day.other_crashes * STEP_MS as f64 / 1_000.0 {
            let runner = self.rng.usize(..RUNNERS);
            self.crash(runner, None);
        }
        self.answer_requests();
    }

    fn draw_request(&mut self) -> Request {
        let (a, b) = (self.rng.u64(..CALLERS), self.rng.u64(..CALLERS));
        let mut parts = vec![ROUTE, PartId(1_000 + a.min(b))];
        let is_tainted = self.rng.f64() < self.day.share;
        let is_deadly = self.now > CONTACT_MS;
        let part = self.rng.u64(..self.day.deadly);
        if is_tainted && (is_deadly || self.day.turns_deadly) {
            parts[1] = PartId(1_000 + part);
            parts.push(PartId(100_000 + part));
        }
        let deadly = (is_tainted && is_deadly).then_some(part);
        Request {
            entry: self.rng.usize(..ENTRIES),
            parts,
            deadly,
            attempts: 0,
            canary: Vec::new(),
        }
    }

    fn send(&mut self, mut request: Request, first: bool) {
        let now = self.time();
        let up: Vec<usize> = (0..RUNNERS)
            .filter(|index| self.runners[*index].back_at.is_none())
            .collect();
        let counts = first && request.deadly.is_none() && self.is_late() && !up.is_empty();
        self.outcome.sound += u32::from(counts);
        match self.entries[request.entry].admit(now, &request.parts) {
            Admission::Free => {}
            Admission::Probe(part) if self.may_probe(request.entry, part) => {}
            Admission::Probe(_) => return,
            Admission::Canary(parts) => request.canary = parts,
            Admission::Refused(_) => return,
        }
        let Some(runner) = self.rng.choice(up) else {
            self.entries[request.entry].end_canary(&request.canary);
            return;
        };
        self.outcome.sound_sent += u32::from(counts);
        if let Some(deadly) = request.deadly {
            self.count_late(deadly);
        }
        request.attempts += 1;
        let running = RunningRequest {
            request,
            answers_at: self.now + PREFILL_MS,
        };
        self.runners[runner].running.push(running);
    }

    /// Asks the store whether this entry may probe the part.
    fn may_probe(&mut self, entry: usize, part: PartId) -> bool {
        let now = self.time();
        let known = self.holds.get(&part).copied();
        if let Some((until, level)) = known
            && until > now
        {
            self.entries[entry].hold(part, until, level);
            return false;
        }
        let level = known.map_or(0, |(_, level)| level) + 1;
        let until = now.after(Quarantine::hold_time(level));
        self.holds.insert(part, (until, level));
        self.entries[entry].hold(part, until, level);
        true
    }

    /// Returns whether sound requests must be served: twice the contact bound after the fifth crash, or
    /// after the deadly requests began if there were fewer.
    fn is_late(&self) -> bool {
        let fifth = self
            .crashed_at
            .iter()
            .filter_map(|times| times.get(4).or(times.last()));
        let last = fifth.max().copied().unwrap_or(CONTACT_MS);
        self.now > last + 2 * CONTACT_MS
    }

    fn count_late(&mut self, deadly: u64) {
        let fifth = self.crashed_at[deadly as usize].get(4);
        if fifth.is_some_and(|fifth| self.now > fifth + CONTACT_MS) {
            self.outcome.late[deadly as usize] += 1;
        }
    }

    fn answer_requests(&mut self) {
        for index in 0..RUNNERS {
            let now = self.now;
            let running = &mut self.runners[index].running;
            let due = running
                .iter()
                .position(|running| running.answers_at <= now && running.request.deadly.is_some());
            if let Some(due) = due {
                let request = running.swap_remove(due).request;
                self.crash(index, Some(request));
                continue;
            }
            let (answered, waiting): (Vec<_>, Vec<_>) = std::mem::take(running)
                .into_iter()
                .partition(|running| running.answers_at <= now);
            self.runners[index].running = waiting;
            for running in answered {
                self.answer(running.request);
            }
        }
    }

    fn answer(&mut self, request: Request) {
        let now = self.time();
        let entry = &mut self.entries[request.entry];
        entry.end_canary(&request.canary);
        let cleared = entry.record_answer(now, &request.parts);
        let parts: Vec<PartId> = cleared.isolated.into_iter().chain(cleared.held).collect();
        if !parts.is_empty() {
            self.post(2 * MESSAGE_MS, Message::Served(parts));
        }
    }

    fn crash(&mut self, index: usize, culprit: Option<Request>) {
        let runner = &mut self.runners[index];
        if runner.back_at.is_some() {
            return;
        }
        runner.back_at = Some(self.now + RESTART_MS);
        runner.detected = false;
        let born = runner.born;
        let running = std::mem::take(&mut runner.running);
        if let Some(deadly) = culprit.as_ref().and_then(|request| request.deadly) {
            self.crashed_at[deadly as usize].push(self.now);
            self.outcome.crashes += 1;
        }
        let waiting = running.into_iter().map(|running| (running.request, false));
        let begins = self.day.begins;
        let broken = culprit.map(|request| (request, begins));
        for (request, begun) in broken.into_iter().chain(waiting) {
            self.report(index, born, &request, begun);
            if request.attempts < ATTEMPTS {
                self.send(request, false);
            }
        }
    }

    fn report(&mut self, index: usize, born: u64, request: &Request, begun: bool) {
        let now = self.time();
        let entry = &mut self.entries[request.entry];
        entry.end_canary(&request.canary);
        let runner = format!("r{index}").into();
        let served = entry.record_report(now, &runner, born, &request.parts);
        let attempt = BrokenAttempt {
            runner,
            born,
            begun,
            served,
            parts: request.parts.clone(),
            whole: None,
        };
        self.post(MESSAGE_MS, Message::Broken(index, attempt));
    }

    fn restart_runners(&mut self) {
        let now = self.time();
        for index in 0..RUNNERS {
            let runner = &mut self.runners[index];
            match runner.back_at {
                Some(at) if at <= self.now => {
                    runner.back_at = None;
                    runner.born += 1_000;
                }
                Some(at) if !runner.detected && self.now + RESTART_MS >= at + DETECTION_MS => {
                    runner.detected = true;
                    runner.reports.runner_down(now);
                }
                Some(_) => {}
                None => runner.reports.runner_seen(now, runner.born, false),
            }
            self.tell(index);
        }
    }

    fn tell(&mut self, index: usize) {
        for news in self.runners[index].reports.take_changed() {
            self.post(MESSAGE_MS, Message::Crash(index, news.crash));
        }
    }

    fn post(&mut self, delay: u64, message: Message) {
        self.messages.push((self.now + delay, message));
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = later;
        let due: Vec<(u64, Message)> = due;
        for (_, message) in due {
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.time();
        match message {
            Message::Broken(index, attempt) => {
                self.runners[index].reports.record_broken(now, attempt);
                self.tell(index);
            }
            Message::Vouch(index, born, parts) => {
                self.runners[index].reports.record_vouch(born, &parts);
                self.tell(index);
            }
            Message::Crash(index, crash) => {
                for entry in 0..ENTRIES {
                    let effect = self.entries[entry].record_crash(now, crash.clone());
                    for part in effect.held.iter().filter(|_| effect.reported) {
                        let hold = (now.after(Quarantine::hold_time(0)), 0);
                        self.holds.entry(*part).or_insert(hold);
                    }
                    if !effect.vouched.is_empty() {
                        let vouch = Message::Vouch(index, crash.born, effect.vouched);
                        self.post(MESSAGE_MS, vouch);
                    }
                }
            }
            Message::Served(parts) => {
                for entry in &mut self.entries {
                    entry.clear(now, &parts);
                }
                self.holds.retain(|part, _| !parts.contains(part));
            }
        }
    }

    /// Replaces all entries; the new ones hear of the recent crashes from the agents, and of the holds
    /// from the store.
    fn restart_entries(&mut self) {
        let now = self.time();
        for entry in 0..ENTRIES {
            self.entries[entry] = Quarantine::default();
            for index in 0..RUNNERS {
                for crash in self.runners[index].reports.recent(now) {
                    self.entries[entry].record_crash(now, crash);
                }
            }
            for (part, (until, level)) in &self.holds {
                self.entries[entry].hold(*part, *until, *level);
            }
        }
    }
}

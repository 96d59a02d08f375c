//! The event loop: arrivals, engines and the weight store under a virtual clock.
//!
//! A policy sees only what its process would see: an entry its own requests and lagged reports, an
//! agent its own queue and engine.

use std::any::Any;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decision::time::Time;
use objects::Priority;

use crate::arrivals::Request;
use crate::arrivals::Work;
use crate::engine::Engine;
use crate::measure::Fate;
use crate::measure::Figures;
use crate::measure::Record;
use crate::measure::figures;
use crate::site::LINK;
use crate::site::REPORT_EVERY;
use crate::site::REPORT_LAG;
use crate::site::RESTART;
use crate::site::Site;
use crate::store::Store;

/// Interval at which agents check deadlines and waiting loads.
const TICK: Duration = Duration::from_millis(20);
/// Time before an entry tries another endpoint.
const BACKOFF: Duration = Duration::from_millis(50);
/// Attempts at one request.
const ATTEMPTS: usize = 3;
/// Time after the last arrival at which the run ends whatever is still open.
const DRAIN: Duration = Duration::from_secs(700);

/// Why an agent does not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its deadline cannot be met; it is not tried elsewhere.
    Deadline,
    /// The engine is down.
    Down,
    /// The queue is full or the load failed.
    Busy,
}

/// How an attempt ended, as its entry learns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived; the time from the arrival to the first token.
    Good(Duration),
    /// The engine failed after the submission.
    Failed,
    /// The agent refused the request.
    Refused(Refusal),
}

/// A policy's own load report; the event loop only carries it.
pub type Report = Rc<dyn Any>;

/// What an agent wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load an adapter.
    Load(u32),
    /// Unload an adapter; this takes no time.
    Unload(u32),
    /// Submit a request to the engine.
    Submit(usize),
    /// Refuse a request that was not submitted.
    Refuse(usize, Refusal),
}

/// Actions with their endpoints, in order.
pub type Actions = Vec<(usize, Action)>;

/// All decisions of one run: the entries' and the agents'.
pub trait Policy {
    /// Picks the endpoint for a request at its entry; `tried` names earlier attempts.
    fn pick(&mut self, now: Time, id: usize, request: &Request, tried: &[usize]) -> Option<usize>;
    /// Takes a report at an entry.
    fn learn(&mut self, now: Time, entry: usize, endpoint: usize, report: &dyn Any);
    /// Takes the end of an attempt at an entry.
    fn outcome(&mut self, now: Time, entry: usize, endpoint: usize, id: usize, end: End);
    /// Takes a request at an agent.
    fn offer(
        &mut self,
        now: Time,
        endpoint: usize,
        id: usize,
        request: &Request,
        out: &mut Actions,
    );
    /// Takes the end of a load at an agent.
    fn loaded(&mut self, now: Time, endpoint: usize, adapter: u32, out: &mut Actions);
    /// Takes the end of a submitted request at an agent; `good` tells whether the answer is whole.
    fn ended(&mut self, now: Time, endpoint: usize, id: usize, good: bool, out: &mut Actions);
    /// Takes the stop or the start of the engine at an agent.
    fn engine(&mut self, now: Time, endpoint: usize, up: bool, out: &mut Actions);
    /// Checks deadlines and waiting loads at an agent.
    fn tick(&mut self, now: Time, endpoint: usize, out: &mut Actions);
    /// Makes a report at an agent.
    fn report(&mut self, now: Time, endpoint: usize) -> Report;
}

/// A fault of one engine for the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Factor on the step times of engine 0, if above 1.
    pub slowness: f64,
    /// Share of submissions to engine 0 that fail.
    pub failing: f64,
}

/// Runs one policy on the work of one run.
pub fn run(site: &Site, work: &Work, fault: Fault, policy: &mut dyn Policy) -> Figures {
    let mut sim = Sim::new(site, work, fault, policy);
    sim.schedule();
    sim.drive();
    sim.figures()
}

enum Event {
    Arrive(usize),
    Deliver {
        endpoint: usize,
        id: usize,
    },
    Step {
        endpoint: usize,
        start: u32,
    },
    Fetched,
    Attached {
        load: usize,
    },
    Fail {
        endpoint: usize,
        id: usize,
    },
    Stop(usize),
    Start(usize),
    Tick,
    ReportAll,
    Learn {
        entry: usize,
        endpoint: usize,
        report: Report,
    },
}

/// A load in progress.
struct Load {
    endpoint: usize,
    adapter: u32,
    start: u32,
}

/// A request that waits at an agent.
struct Waiting {
    id: usize,
    /// The engine's free time since which the adapter is missing.
    stalled: Option<Duration>,
}

struct Sim<'a> {
    site: &'a Site,
    work: &'a Work,
    fault: Fault,
    policy: &'a mut dyn Policy,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    number: u64,
    engines: Vec<Engine>,
    waiting: Vec<Vec<Waiting>>,
    store: Store,
    loads: Vec<Load>,
    replicas: usize,
    records: Vec<Record>,
    tried: Vec<Vec<usize>>,
    open: usize,
    rng: fastrand::Rng,
}

impl<'a> Sim<'a> {
    fn new(site: &'a Site, work: &'a Work, fault: Fault, policy: &'a mut dyn Policy) -> Self {
        let mut engines: Vec<Engine> = (0..site.runners).map(|_| Engine::new(site)).collect();
        engines[0].slowness = fault.slowness.max(1.0);
        Sim {
            site,
            work,
            fault,
            policy,
            now: Time::default(),
            events: BTreeMap::new(),
            number: 0,
            engines,
            waiting: (0..site.runners).map(|_| Vec::new()).collect(),
            store: Store::new(site),
            loads: Vec::new(),
            replicas: 0,
            records: vec![Record::default(); work.requests.len()],
            tried: vec![Vec::new(); work.requests.len()],
            open: work.requests.len(),
            rng: fastrand::Rng::with_seed(7),
        }
    }

    fn schedule(&mut self) {
        for (id, request) in self.work.requests.iter().enumerate() {
            self.at(request.at, Event::Arrive(id));
        }
        for &(at, endpoint) in &self.work.restarts {
            self.at(at, Event::Stop(endpoint));
        }
        self.at(Time::default(), Event::Tick);
        self.at(Time::default(), Event::ReportAll);
    }

    fn drive(&mut self) {
        let last = self
            .work
            .requests
            .last()
            .map_or(Time::default(), |request| request.at);
        let end = last.after(DRAIN);
        while self.open > 0
            && let Some(((at, _), event)) = self.events.pop_first()
            && at <= end
        {
            self.now = at;
            self.handle(event);
        }
    }

    fn figures(&self) -> Figures {
        let steps: u64 = self.engines.iter().map(|engine| engine.steps).sum();
        let sequences: u64 = self.engines.iter().map(|engine| engine.sequences).sum();
        Figures {
            batch_efficiency: sequences as f64 / (steps.max(1) * self.site.batch as u64) as f64,
            loads: self.loads.len(),
            replicas: self.replicas,
            ..figures(self.work, &self.records)
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn later(&mut self, wait: Duration, event: Event) {
        self.at(self.now.after(wait), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.dispatch(id),
            Event::Deliver { endpoint, id } => self.deliver(endpoint, id),
            Event::Step { endpoint, start } => self.step(endpoint, start),
            Event::Fetched => self.fetched(),
            Event::Attached { load } => self.attached(load),
            Event::Fail { endpoint, id } => self.fail(endpoint, id),
            Event::Stop(endpoint) => self.stop(endpoint),
            Event::Start(endpoint) => self.start(endpoint),
            Event::Tick => self.tick(),
            Event::ReportAll => self.report_all(),
            Event::Learn {
                entry,
                endpoint,
                report,
            } => {
                self.policy.learn(self.now, entry, endpoint, &*report);
            }
        }
    }

    fn dispatch(&mut self, id: usize) {
        let request = &self.work.requests[id];
        let tried = &self.tried[id];
        let spent = tried.len() >= ATTEMPTS || self.now >= request.due;
        let pick = if spent {
            None
        } else {
            self.policy.pick(self.now, id, request, tried)
        };
        let Some(endpoint) = pick else {
            return self.close(id, Fate::Missed);
        };
        self.tried[id].push(endpoint);
        self.later(LINK, Event::Deliver { endpoint, id });
    }

    fn deliver(&mut self, endpoint: usize, id: usize) {
        let request = &self.work.requests[id];
        let engine = &self.engines[endpoint];
        let missing = !engine.resident.contains(&request.adapter);
        let stalled = missing.then(|| engine.free(self.now));
        self.waiting[endpoint].push(Waiting { id, stalled });
        let mut out = Vec::new();
        self.policy.offer(self.now, endpoint, id, request, &mut out);
        self.act(out);
    }

    fn step(&mut self, endpoint: usize, start: u32) {
        if self.engines[endpoint].start != start {
            return;
        }
        let (first, done) = self.engines[endpoint].finish(self.now, &self.work.requests);
        for id in first {
            self.records[id].first = Some(self.now);
        }
        let mut out = Vec::new();
        for &id in &done {
            self.policy.ended(self.now, endpoint, id, true, &mut out);
        }
        self.act(out);
        for id in done {
            let late = self.now > self.work.requests[id].due;
            self.close(id, if late { Fate::Missed } else { Fate::Finished });
            let first = self.records[id].first.unwrap_or(self.now);
            self.answer(
                endpoint,
                id,
                End::Good(first.since(self.work.requests[id].at)),
            );
        }
        self.begin(endpoint);
    }

    /// Tells the entry how an attempt ended, with a report on the answer path.
    fn answer(&mut self, endpoint: usize, id: usize, end: End) {
        let entry = self.work.requests[id].entry;
        self.policy.outcome(self.now, entry, endpoint, id, end);
        let report = self.policy.report(self.now, endpoint);
        self.later(
            REPORT_LAG,
            Event::Learn {
                entry,
                endpoint,
                report,
            },
        );
    }

    fn begin(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        let start = engine.start;
        if let Some(length) = engine.begin(self.site) {
            self.later(length, Event::Step { endpoint, start });
        }
    }

    fn act(&mut self, actions: Actions) {
        for (endpoint, action) in actions {
            match action {
                Action::Load(adapter) => self.load(endpoint, adapter),
                Action::Unload(adapter) => self.unload(endpoint, adapter),
                Action::Submit(id) => self.submit(endpoint, id),
                Action::Refuse(id, why) => self.refuse(endpoint, id, why),
            }
        }
    }

    fn load(&mut self, endpoint: usize, adapter: u32) {
        let held = |engine: &Engine| {
            engine.resident.contains(&adapter) || engine.loading.contains(&adapter)
        };
        self.replicas += usize::from(self.engines.iter().any(held));
        let engine = &mut self.engines[endpoint];
        let used = engine.resident.len() + engine.loading.len();
        assert!(
            engine.up && used < self.site.slots,
            "no slot for adapter {adapter}"
        );
        engine.loading.insert(adapter);
        let start = engine.start;
        self.loads.push(Load {
            endpoint,
            adapter,
            start,
        });
        self.store.start(self.now, self.loads.len() - 1);
        self.watch_store();
    }

    fn unload(&mut self, endpoint: usize, adapter: u32) {
        let engine = &mut self.engines[endpoint];
        assert!(
            !engine.uses(adapter),
            "unloaded adapter {adapter} is in use"
        );
        engine.resident.remove(&adapter);
        let free = engine.free(self.now);
        for waiting in &mut self.waiting[endpoint] {
            if self.work.requests[waiting.id].adapter == adapter {
                waiting.stalled = Some(free);
            }
        }
    }

    fn submit(&mut self, endpoint: usize, id: usize) {
        self.leave(endpoint, id);
        self.records[id].runs += 1;
        self.engines[endpoint].admit(self.now, id, &self.work.requests[id]);
        if endpoint == 0 && self.rng.f64() < self.fault.failing {
            return self.later(LINK, Event::Fail { endpoint, id });
        }
        self.begin(endpoint);
    }

    fn refuse(&mut self, endpoint: usize, id: usize, why: Refusal) {
        self.leave(endpoint, id);
        self.answer(endpoint, id, End::Refused(why));
        if why == Refusal::Deadline {
            return self.close(id, Fate::Missed);
        }
        self.later(BACKOFF, Event::Arrive(id));
    }

    /// Removes a request from those that wait at an agent and accounts for its stall.
    fn leave(&mut self, endpoint: usize, id: usize) {
        let list = &mut self.waiting[endpoint];
        let Some(index) = list.iter().position(|waiting| waiting.id == id) else {
            panic!("request {id} does not wait at {endpoint}");
        };
        if let Some(from) = list.swap_remove(index).stalled {
            self.records[id].stall += self.engines[endpoint].free(self.now) - from;
        }
    }

    fn watch_store(&mut self) {
        if let Some(at) = self.store.next() {
            self.at(at.max(self.now), Event::Fetched);
        }
    }

    fn fetched(&mut self) {
        let mut any = false;
        while let Some((load, wait)) = self.store.take(self.now) {
            any = true;
            self.later(wait, Event::Attached { load });
        }
        if any {
            self.watch_store();
        }
    }

    fn attached(&mut self, load: usize) {
        self.store.attached();
        let Load {
            endpoint,
            adapter,
            start,
        } = self.loads[load];
        let engine = &mut self.engines[endpoint];
        if engine.start != start {
            return;
        }
        engine.loading.remove(&adapter);
        engine.resident.insert(adapter);
        let free = engine.free(self.now);
        for waiting in &mut self.waiting[endpoint] {
            if self.work.requests[waiting.id].adapter == adapter
                && let Some(from) = waiting.stalled.take()
            {
                self.records[waiting.id].stall += free - from;
            }
        }
        let mut out = Vec::new();
        self.policy.loaded(self.now, endpoint, adapter, &mut out);
        self.act(out);
    }

    /// Ends an attempt that the engine answered with an error.
    fn fail(&mut self, endpoint: usize, id: usize) {
        if !self.engines[endpoint].abort(self.now, id, self.work.requests[id].adapter) {
            return;
        }
        let mut out = Vec::new();
        self.policy.ended(self.now, endpoint, id, false, &mut out);
        self.act(out);
        self.cut(endpoint, id);
        self.begin(endpoint);
    }

    fn stop(&mut self, endpoint: usize) {
        let cut = self.engines[endpoint].stop(self.now);
        let free = self.engines[endpoint].free(self.now);
        for waiting in &mut self.waiting[endpoint] {
            waiting.stalled.get_or_insert(free);
        }
        let mut out = Vec::new();
        self.policy.engine(self.now, endpoint, false, &mut out);
        self.act(out);
        for id in cut {
            self.cut(endpoint, id);
        }
        self.later(RESTART, Event::Start(endpoint));
    }

    /// Retries a submitted request that is repeatable and has no token yet; others are lost.
    fn cut(&mut self, endpoint: usize, id: usize) {
        self.answer(endpoint, id, End::Failed);
        let booking = self.work.requests[id].priority == Priority::Booking;
        if booking || self.records[id].first.is_some() {
            return self.close(id, Fate::Lost);
        }
        self.later(BACKOFF, Event::Arrive(id));
    }

    fn start(&mut self, endpoint: usize) {
        self.engines[endpoint].restart(self.now);
        let mut out = Vec::new();
        self.policy.engine(self.now, endpoint, true, &mut out);
        self.act(out);
    }

    fn tick(&mut self) {
        let mut out = Vec::new();
        for endpoint in 0..self.site.runners {
            self.policy.tick(self.now, endpoint, &mut out);
            self.act(std::mem::take(&mut out));
        }
        self.later(TICK, Event::Tick);
    }

    fn report_all(&mut self) {
        for endpoint in 0..self.site.runners {
            let report = self.policy.report(self.now, endpoint);
            for entry in 0..self.site.entries {
                let report = report.clone();
                let event = Event::Learn {
                    entry,
                    endpoint,
                    report,
                };
                self.later(REPORT_LAG, event);
            }
        }
        self.later(REPORT_EVERY, Event::ReportAll);
    }

    fn close(&mut self, id: usize, fate: Fate) {
        assert_eq!(
            self.records[id].fate,
            Fate::Open,
            "request {id} ended twice"
        );
        self.records[id].fate = fate;
        self.open -= 1;
    }
}

//! Discrete-event simulation of entries, agents, engines and the weight store on a virtual clock.
//!
//! A policy gets only the information that the real process would have: an entry knows its own
//! requests and delayed reports, an agent knows its own queue and engine.

use std::any::Any;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decision::time::Time;
use objects::Priority;

use crate::arrivals::Request;
use crate::arrivals::Workload;
use crate::engine::Engine;
use crate::measure::Figures;
use crate::measure::RequestOutcome;
use crate::measure::RequestRecord;
use crate::measure::compute_figures;
use crate::site::LINK_DELAY;
use crate::site::REPORT_DELAY;
use crate::site::REPORT_INTERVAL;
use crate::site::RESTART_TIME;
use crate::site::Site;
use crate::store::WeightStore;

/// Interval at which agents check deadlines and pending loads.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before an entry retries a request.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;
/// Time after the last arrival at which the run ends even if requests are still open.
const DRAIN_TIME: Duration = Duration::from_secs(700);

/// Why an agent refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The deadline cannot be met; the request is not retried at another endpoint.
    Deadline,
    /// The engine has stopped and not started again yet.
    EngineDown,
    /// The queue is full, the load failed, or the agent gave any other reason.
    Unavailable,
}

/// Outcome of an attempt as reported to its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete response arrived; holds the time from the request's arrival to the first token.
    Success(Duration),
    /// The engine returned an error or stopped after the submission.
    Failed,
    /// The agent refused the request.
    Refused(Refusal),
}

/// Load report in the policy's own format; the event loop passes it on without reading it.
pub type Report = Rc<dyn Any>;

/// Action requested by an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load this adapter.
    Load(u32),
    /// Unload this adapter, which takes no simulated time.
    Unload(u32),
    /// Submit the request with this index to the engine.
    Submit(usize),
    /// Refuse the request with this index, which has not been submitted.
    Refuse(usize, Refusal),
}

/// Pairs of endpoint and action, applied in order.
pub type Actions = Vec<(usize, Action)>;

/// Decision logic of all entries and agents of one run.
///
/// Entries and endpoints are given by index; `id` is the index of the request in the workload.
pub trait Policy {
    /// Picks the endpoint for a request at its entry; `tried` holds the endpoints of earlier
    /// attempts. `None` ends the request without a response.
    fn pick(&mut self, now: Time, id: usize, request: &Request, tried: &[usize]) -> Option<usize>;
    /// Handles the arrival of an endpoint's load report at an entry.
    fn on_report(&mut self, now: Time, entry: usize, endpoint: usize, report: &dyn Any);
    /// Handles the end of an attempt at an entry.
    fn on_attempt_end(
        &mut self,
        now: Time,
        entry: usize,
        endpoint: usize,
        id: usize,
        outcome: AttemptOutcome,
    );
    /// Handles the arrival of a request at an agent.
    fn on_request(
        &mut self,
        now: Time,
        endpoint: usize,
        id: usize,
        request: &Request,
        actions: &mut Actions,
    );
    /// Handles the end of a successful load at an agent.
    fn on_load_end(&mut self, now: Time, endpoint: usize, adapter: u32, actions: &mut Actions);
    /// Handles the end of a submitted request at an agent; `complete` is false after an engine
    /// error.
    fn on_run_end(
        &mut self,
        now: Time,
        endpoint: usize,
        id: usize,
        complete: bool,
        actions: &mut Actions,
    );
    /// Handles the stop or the start of the engine at an agent. A stop ends all loads and
    /// submitted requests of the engine without calls of `on_load_end` and `on_run_end`.
    fn on_engine_change(&mut self, now: Time, endpoint: usize, up: bool, actions: &mut Actions);
    /// Checks deadlines and pending loads at an agent.
    fn on_tick(&mut self, now: Time, endpoint: usize, actions: &mut Actions);
    /// Returns the current load report of an agent.
    fn report(&mut self, now: Time, endpoint: usize) -> Report;
}

/// Fault of engine 0, present during the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFault {
    /// Factor on the step times; values below 1 count as 1.
    pub slowness: f64,
    /// Share of submissions that fail, between 0 and 1.
    pub failure_rate: f64,
}

/// Simulates a workload under one policy.
pub fn run(
    site: &Site,
    workload: &Workload,
    fault: EngineFault,
    policy: &mut dyn Policy,
) -> Figures {
    let mut sim = Sim::new(site, workload, fault, policy);
    sim.schedule_initial_events();
    sim.process_events();
    sim.figures()
}

enum Event {
    Dispatch(usize),
    Deliver {
        endpoint: usize,
        id: usize,
    },
    StepEnd {
        endpoint: usize,
        epoch: u32,
    },
    FetchEnd,
    AttachEnd {
        load: usize,
    },
    RunFailed {
        endpoint: usize,
        id: usize,
    },
    EngineStop(usize),
    EngineStart(usize),
    Tick,
    SendReports,
    DeliverReport {
        entry: usize,
        endpoint: usize,
        report: Report,
    },
}

/// A load of an adapter; it is void if the engine's epoch has changed.
struct Load {
    endpoint: usize,
    adapter: u32,
    epoch: u32,
}

/// A request queued at an agent.
struct QueuedRequest {
    id: usize,
    /// The engine's free time at the moment from which the adapter was missing; `None` while it is
    /// resident.
    stall_start: Option<Duration>,
}

struct Sim<'a> {
    site: &'a Site,
    workload: &'a Workload,
    fault: EngineFault,
    policy: &'a mut dyn Policy,
    now: Time,
    /// Pending events by time and, at the same time, in the order in which they were scheduled.
    events: BTreeMap<(Time, u64), Event>,
    /// Number of events scheduled so far.
    event_count: u64,
    engines: Vec<Engine>,
    /// Requests that each agent has received but neither submitted nor refused.
    queues: Vec<Vec<QueuedRequest>>,
    store: WeightStore,
    /// All loads started so far, including finished ones.
    loads: Vec<Load>,
    replicas: usize,
    records: Vec<RequestRecord>,
    /// Endpoints of the attempts at each request.
    tried: Vec<Vec<usize>>,
    open_requests: usize,
    rng: fastrand::Rng,
}

impl<'a> Sim<'a> {
    fn new(
        site: &'a Site,
        workload: &'a Workload,
        fault: EngineFault,
        policy: &'a mut dyn Policy,
    ) -> Self {
        let mut engines: Vec<Engine> = (0..site.endpoints).map(|_| Engine::new(site)).collect();
        engines[0].slowness = fault.slowness.max(1.0);
        Sim {
            site,
            workload,
            fault,
            policy,
            now: Time::default(),
            events: BTreeMap::new(),
            event_count: 0,
            engines,
            queues: (0..site.endpoints).map(|_| Vec::new()).collect(),
            store: WeightStore::new(site),
            loads: Vec::new(),
            replicas: 0,
            records: vec![RequestRecord::default(); workload.requests.len()],
            tried: vec![Vec::new(); workload.requests.len()],
            open_requests: workload.requests.len(),
            rng: fastrand::Rng::with_seed(7),
        }
    }

    fn schedule_initial_events(&mut self) {
        for (id, request) in self.workload.requests.iter().enumerate() {
            self.schedule_at(request.arrives_at, Event::Dispatch(id));
        }
        for &(at, endpoint) in &self.workload.restarts {
            self.schedule_at(at, Event::EngineStop(endpoint));
        }
        self.schedule_at(Time::default(), Event::Tick);
        self.schedule_at(Time::default(), Event::SendReports);
    }

    fn process_events(&mut self) {
        let last_arrival = self
            .workload
            .requests
            .last()
            .map_or(Time::default(), |request| request.arrives_at);
        let end = last_arrival.after(DRAIN_TIME);
        while self.open_requests > 0
            && let Some(((at, _), event)) = self.events.pop_first()
            && at <= end
        {
            self.now = at;
            self.handle(event);
        }
    }

    fn figures(&self) -> Figures {
        let steps: u64 = self.engines.iter().map(|engine| engine.step_count).sum();
        let sequences: u64 = self
            .engines
            .iter()
            .map(|engine| engine.sequence_steps)
            .sum();
        Figures {
            batch_efficiency: sequences as f64 / (steps.max(1) * self.site.batch as u64) as f64,
            loads: self.loads.len(),
            replicas: self.replicas,
            ..compute_figures(self.workload, &self.records)
        }
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now.after(delay), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Dispatch(id) => self.dispatch(id),
            Event::Deliver { endpoint, id } => self.deliver(endpoint, id),
            Event::StepEnd { endpoint, epoch } => self.finish_step(endpoint, epoch),
            Event::FetchEnd => self.finish_fetches(),
            Event::AttachEnd { load } => self.finish_load(load),
            Event::RunFailed { endpoint, id } => self.fail_run(endpoint, id),
            Event::EngineStop(endpoint) => self.stop_engine(endpoint),
            Event::EngineStart(endpoint) => self.start_engine(endpoint),
            Event::Tick => self.tick_agents(),
            Event::SendReports => self.send_reports(),
            Event::DeliverReport {
                entry,
                endpoint,
                report,
            } => {
                self.policy.on_report(self.now, entry, endpoint, &*report);
            }
        }
    }

    fn dispatch(&mut self, id: usize) {
        let request = &self.workload.requests[id];
        let tried = &self.tried[id];
        let is_given_up = tried.len() >= MAX_ATTEMPTS || self.now >= request.deadline;
        let pick = if is_given_up {
            None
        } else {
            self.policy.pick(self.now, id, request, tried)
        };
        let Some(endpoint) = pick else {
            return self.close_request(id, RequestOutcome::MissedDeadline);
        };
        self.tried[id].push(endpoint);
        self.schedule_after(LINK_DELAY, Event::Deliver { endpoint, id });
    }

    fn deliver(&mut self, endpoint: usize, id: usize) {
        let request = &self.workload.requests[id];
        let engine = &self.engines[endpoint];
        let missing = !engine.resident.contains(&request.adapter);
        let stall_start = missing.then(|| engine.free_time(self.now));
        self.queues[endpoint].push(QueuedRequest { id, stall_start });
        let mut actions = Vec::new();
        self.policy
            .on_request(self.now, endpoint, id, request, &mut actions);
        self.apply_actions(actions);
    }

    fn finish_step(&mut self, endpoint: usize, epoch: u32) {
        if self.engines[endpoint].epoch != epoch {
            return;
        }
        let (first_tokens, finished) =
            self.engines[endpoint].finish_step(self.now, &self.workload.requests);
        for id in first_tokens {
            self.records[id].first_token_at = Some(self.now);
        }
        let mut actions = Vec::new();
        for &id in &finished {
            self.policy
                .on_run_end(self.now, endpoint, id, true, &mut actions);
        }
        self.apply_actions(actions);
        for id in finished {
            let late = self.now > self.workload.requests[id].deadline;
            self.close_request(
                id,
                if late {
                    RequestOutcome::MissedDeadline
                } else {
                    RequestOutcome::Finished
                },
            );
            let first = self.records[id].first_token_at.unwrap_or(self.now);
            self.notify_entry(
                endpoint,
                id,
                AttemptOutcome::Success(first.since(self.workload.requests[id].arrives_at)),
            );
        }
        self.begin_step(endpoint);
    }

    /// Reports the outcome of an attempt to its entry and sends a load report with the response.
    fn notify_entry(&mut self, endpoint: usize, id: usize, outcome: AttemptOutcome) {
        let entry = self.workload.requests[id].entry;
        self.policy
            .on_attempt_end(self.now, entry, endpoint, id, outcome);
        let report = self.policy.report(self.now, endpoint);
        self.schedule_after(
            REPORT_DELAY,
            Event::DeliverReport {
                entry,
                endpoint,
                report,
            },
        );
    }

    fn begin_step(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        let epoch = engine.epoch;
        if let Some(length) = engine.begin_step(self.site) {
            self.schedule_after(length, Event::StepEnd { endpoint, epoch });
        }
    }

    fn apply_actions(&mut self, actions: Actions) {
        for (endpoint, action) in actions {
            match action {
                Action::Load(adapter) => self.start_load(endpoint, adapter),
                Action::Unload(adapter) => self.unload(endpoint, adapter),
                Action::Submit(id) => self.submit(endpoint, id),
                Action::Refuse(id, reason) => self.refuse(endpoint, id, reason),
            }
        }
    }

    fn start_load(&mut self, endpoint: usize, adapter: u32) {
        let is_held = |engine: &Engine| {
            engine.resident.contains(&adapter) || engine.loading.contains(&adapter)
        };
        self.replicas += usize::from(self.engines.iter().any(is_held));
        let engine = &mut self.engines[endpoint];
        let used_slots = engine.resident.len() + engine.loading.len();
        assert!(
            engine.up && used_slots < self.site.slots,
            "no running engine or free slot for adapter {adapter} at endpoint {endpoint}"
        );
        engine.loading.insert(adapter);
        let epoch = engine.epoch;
        self.loads.push(Load {
            endpoint,
            adapter,
            epoch,
        });
        self.store.begin_fetch(self.now, self.loads.len() - 1);
        self.schedule_fetch_end();
    }

    fn unload(&mut self, endpoint: usize, adapter: u32) {
        let engine = &mut self.engines[endpoint];
        assert!(
            !engine.uses_adapter(adapter),
            "adapter {adapter} is unloaded at endpoint {endpoint} while a sequence uses it"
        );
        engine.resident.remove(&adapter);
        let free_time = engine.free_time(self.now);
        for queued in &mut self.queues[endpoint] {
            if self.workload.requests[queued.id].adapter == adapter {
                queued.stall_start = Some(free_time);
            }
        }
    }

    fn submit(&mut self, endpoint: usize, id: usize) {
        self.dequeue(endpoint, id);
        self.records[id].submissions += 1;
        self.engines[endpoint].admit(self.now, id, &self.workload.requests[id]);
        if endpoint == 0 && self.rng.f64() < self.fault.failure_rate {
            return self.schedule_after(LINK_DELAY, Event::RunFailed { endpoint, id });
        }
        self.begin_step(endpoint);
    }

    fn refuse(&mut self, endpoint: usize, id: usize, reason: Refusal) {
        self.dequeue(endpoint, id);
        self.notify_entry(endpoint, id, AttemptOutcome::Refused(reason));
        if reason == Refusal::Deadline {
            return self.close_request(id, RequestOutcome::MissedDeadline);
        }
        self.schedule_after(RETRY_BACKOFF, Event::Dispatch(id));
    }

    /// Removes a request from an agent's queue and adds up its load stall.
    fn dequeue(&mut self, endpoint: usize, id: usize) {
        let queue = &mut self.queues[endpoint];
        let Some(index) = queue.iter().position(|queued| queued.id == id) else {
            panic!("request {id} is not queued at endpoint {endpoint}");
        };
        if let Some(from) = queue.swap_remove(index).stall_start {
            self.records[id].stall += self.engines[endpoint].free_time(self.now) - from;
        }
    }

    fn schedule_fetch_end(&mut self) {
        if let Some(at) = self.store.next_fetch_end() {
            self.schedule_at(at.max(self.now), Event::FetchEnd);
        }
    }

    fn finish_fetches(&mut self) {
        let mut any_finished = false;
        while let Some((load, attach_time)) = self.store.take_finished(self.now) {
            any_finished = true;
            self.schedule_after(attach_time, Event::AttachEnd { load });
        }
        if any_finished {
            self.schedule_fetch_end();
        }
    }

    fn finish_load(&mut self, load: usize) {
        self.store.finish_attach();
        let Load {
            endpoint,
            adapter,
            epoch,
        } = self.loads[load];
        let engine = &mut self.engines[endpoint];
        if engine.epoch != epoch {
            return;
        }
        engine.loading.remove(&adapter);
        engine.resident.insert(adapter);
        let free_time = engine.free_time(self.now);
        for queued in &mut self.queues[endpoint] {
            if self.workload.requests[queued.id].adapter == adapter
                && let Some(from) = queued.stall_start.take()
            {
                self.records[queued.id].stall += free_time - from;
            }
        }
        let mut actions = Vec::new();
        self.policy
            .on_load_end(self.now, endpoint, adapter, &mut actions);
        self.apply_actions(actions);
    }

    /// Ends a run that the engine answered with an error, unless it has already ended.
    fn fail_run(&mut self, endpoint: usize, id: usize) {
        if !self.engines[endpoint].abort(self.now, id, self.workload.requests[id].adapter) {
            return;
        }
        let mut actions = Vec::new();
        self.policy
            .on_run_end(self.now, endpoint, id, false, &mut actions);
        self.apply_actions(actions);
        self.handle_interruption(endpoint, id);
        self.begin_step(endpoint);
    }

    fn stop_engine(&mut self, endpoint: usize) {
        let interrupted = self.engines[endpoint].stop(self.now);
        let free_time = self.engines[endpoint].free_time(self.now);
        for queued in &mut self.queues[endpoint] {
            queued.stall_start.get_or_insert(free_time);
        }
        let mut actions = Vec::new();
        self.policy
            .on_engine_change(self.now, endpoint, false, &mut actions);
        self.apply_actions(actions);
        for id in interrupted {
            self.handle_interruption(endpoint, id);
        }
        self.schedule_after(RESTART_TIME, Event::EngineStart(endpoint));
    }

    /// Retries an interrupted request unless it is a booking or has produced a token; those are
    /// lost.
    fn handle_interruption(&mut self, endpoint: usize, id: usize) {
        self.notify_entry(endpoint, id, AttemptOutcome::Failed);
        let booking = self.workload.requests[id].priority == Priority::Booking;
        if booking || self.records[id].first_token_at.is_some() {
            return self.close_request(id, RequestOutcome::Lost);
        }
        self.schedule_after(RETRY_BACKOFF, Event::Dispatch(id));
    }

    fn start_engine(&mut self, endpoint: usize) {
        self.engines[endpoint].start(self.now);
        let mut actions = Vec::new();
        self.policy
            .on_engine_change(self.now, endpoint, true, &mut actions);
        self.apply_actions(actions);
    }

    fn tick_agents(&mut self) {
        let mut actions = Vec::new();
        for endpoint in 0..self.site.endpoints {
            self.policy.on_tick(self.now, endpoint, &mut actions);
            self.apply_actions(std::mem::take(&mut actions));
        }
        self.schedule_after(TICK_INTERVAL, Event::Tick);
    }

    fn send_reports(&mut self) {
        for endpoint in 0..self.site.endpoints {
            let report = self.policy.report(self.now, endpoint);
            for entry in 0..self.site.entries {
                let report = report.clone();
                let event = Event::DeliverReport {
                    entry,
                    endpoint,
                    report,
                };
                self.schedule_after(REPORT_DELAY, event);
            }
        }
        self.schedule_after(REPORT_INTERVAL, Event::SendReports);
    }

    fn close_request(&mut self, id: usize, outcome: RequestOutcome) {
        assert_eq!(
            self.records[id].outcome,
            RequestOutcome::Open,
            "request {id} was closed twice"
        );
        self.records[id].outcome = outcome;
        self.open_requests -= 1;
    }
}

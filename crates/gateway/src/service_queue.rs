//! Lets requests to plain services wait until a runner has room, and holds their places there.
//!
//! Invariants: a request that is dropped gives back its place and leaves its queue; whatever may make room
//! calls the next waiting request, and one that cannot use its call passes it on; a request without a place
//! goes behind those that wait.
//!
//! Guards lock the state of the entry when they are dropped, so none may be dropped under that lock.

use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use serving::Name;
use serving::concurrency::Place;
use serving::concurrency::Share;
use serving::fleet::Runner;
use serving::service_queue::Capacity;
use serving::service_queue::Refusal;
use serving::service_queue::RefusalCause;
use serving::service_queue::ServiceQueue;
use serving::service_queue::Waiter;
use serving::service_queue::WaiterId;
use tokio::sync::Notify;

use crate::dispatch::ActiveRequest;
use crate::dispatch::DispatchError;
use crate::dispatch::FailureCause;
use crate::entry::Entry;
use crate::entry::EntryState;
use crate::metrics::GaugeGuard;
use crate::step::Step;

/// The interval at which waiting requests are called although no place was given back: a pause of a runner
/// may be over, or a runner be new.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The requests that wait for room, by service.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    queues: Map<Name, Queue>,
    last_id: WaiterId,
}

#[derive(Debug, Default)]
struct Queue {
    order: ServiceQueue,
    wakers: Map<WaiterId, Arc<Notify>>,
    /// When all were last called without a place that was given back.
    checked_at: Time,
}

/// Which requests a call reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// All that wait.
    New,
    /// Those that were not called since the last new round.
    Same,
}

impl WaitingRequests {
    fn is_empty(&self, service: &str) -> bool {
        let queue = self.queues.get(service);
        queue.is_none_or(|queue| queue.order.is_empty())
    }

    fn contains(&self, service: &str, id: WaiterId) -> bool {
        let queue = self.queues.get(service);
        queue.is_some_and(|queue| queue.wakers.contains_key(&id))
    }

    fn enter(
        &mut self,
        now: Time,
        service: &Name,
        waiter: Waiter,
        capacity: Capacity,
    ) -> Result<Arc<Notify>, Refusal> {
        let queue = self.queues.entry(service.clone()).or_default();
        let displaced = queue.order.enter(now, waiter, capacity)?;
        if let Some(displaced) = displaced.and_then(|id| queue.wakers.remove(&id)) {
            displaced.notify_one();
        }
        let waker = Arc::new(Notify::new());
        queue.wakers.insert(waiter.id, waker.clone());
        Ok(waker)
    }
}

impl EntryState {
    /// Returns what the entries share of each runner of a service; `None` if the service has an engine or is
    /// not known.
    pub(crate) fn share(&self, service: &str) -> Option<Share> {
        let service = self.config.as_ref()?.services.get(service)?;
        let is_plain = service.engine.is_none();
        is_plain.then_some(Share {
            max_conns: service.max_conns,
            entries: self.fleet.entries,
        })
    }

    fn accepting_runners<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Runner> {
        let runners = self.fleet.runners();
        runners
            .filter(move |runner| *runner.member.service == *service && runner.accepts_requests())
    }

    /// Returns whether a waiting request should choose a runner: one has room, or none is left.
    fn has_room(&self, now: Time, service: &str) -> bool {
        let Some(share) = self.share(service) else {
            return false;
        };
        let mut runners = self.accepting_runners(service).peekable();
        runners.peek().is_none()
            || runners.any(|runner| self.concurrency.has_room(now, &runner.member, share))
    }

    /// Returns what the runners of a plain service do for this entry.
    pub(crate) fn capacity(&self, now: Time, service: &str) -> Capacity {
        let share = self.share(service);
        let mut limit = 0.0;
        let mut total = Duration::ZERO;
        let mut count = 0;
        for runner in self.accepting_runners(service) {
            limit += share.map_or(1.0, |share| {
                self.concurrency.limit(now, &runner.member, share)
            });
            total += self.concurrency.service_time(&runner.member);
            count += 1;
        }
        let window = self.concurrency.service_limit(service);
        Capacity {
            limit: window.map_or(limit, |window| window.min(limit)),
            service_time: total / count.max(1),
        }
    }

    /// Returns whether a request that has not been called must wait behind others.
    pub(crate) fn must_wait(&self, service: &str, turn: Option<&QueueTurn>) -> bool {
        let is_called = turn.is_some_and(|turn| turn.called);
        !is_called && !self.waiting.is_empty(service)
    }

    /// Calls the next waiting request, if a runner has room.
    fn call_waiting(&mut self, now: Time, service: &str, round: Round) {
        if self.waiting.is_empty(service) || !self.has_room(now, service) {
            return;
        }
        let service_time = self.capacity(now, service).service_time;
        // Without a runner there is nothing to leave to others, and the requests are refused.
        let is_left = self.accepting_runners(service).next().is_some();
        let is_pressed = is_left && self.concurrency.is_pressed(now, service);
        let Some(queue) = self.waiting.queues.get_mut(service) else {
            return;
        };
        queue.order.set_pressed(is_pressed);
        if is_pressed && queue.order.is_late_only(now, service_time) {
            return;
        }
        if round == Round::New {
            queue.order.begin_round();
        }
        let next = queue.order.call(now, service_time);
        if let Some(waker) = next.and_then(|id| queue.wakers.get(&id)) {
            waker.notify_one();
        }
    }

    /// Calls the next waiting request, if that was not done lately.
    fn recheck_waiting(&mut self, now: Time, service: &str) {
        let Some(queue) = self.waiting.queues.get_mut(service) else {
            return;
        };
        if now >= queue.checked_at.after(RECHECK_INTERVAL) {
            queue.checked_at = now;
            self.call_waiting(now, service, Round::New);
        }
    }
}

impl Entry {
    /// Records in the metrics how many requests may be at the runners of each plain service.
    pub(crate) fn record_limits(&self, state: &EntryState) {
        let services = state.config.as_ref().map(|config| config.services.keys());
        for service in services.into_iter().flatten() {
            if state.share(service).is_some() {
                let limit = &self.metrics.concurrency_limit;
                let limit = limit.with_label_values(&[&**service]);
                limit.set(state.capacity(self.now(), service).limit);
            }
        }
    }
}

/// The place of a request at a runner; dropping it gives it back.
pub(crate) struct HeldPlace {
    entry: Arc<Entry>,
    service: Name,
    /// `None` once it is given back.
    place: Option<Place>,
}

impl HeldPlace {
    pub(crate) fn new(entry: Arc<Entry>, service: Name, place: Place) -> HeldPlace {
        HeldPlace {
            entry,
            service,
            place: Some(place),
        }
    }

    /// Records that the runner has served the request.
    pub(crate) fn record_success(&self) {
        if let Some(place) = &self.place {
            let now = self.entry.now();
            let mut state = self.entry.state();
            let config = state.config.as_ref();
            let goal = config.map_or(Duration::ZERO, |config| config.least_goal(&self.service));
            state.concurrency.record_success(now, place);
            state.concurrency.record_answer(now, place, goal);
        }
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        let now = self.entry.now();
        let mut state = self.entry.state();
        state.concurrency.give_back(place);
        state.call_waiting(now, &self.service, Round::New);
    }
}

/// The turn of a request in the queue of its service; dropping it leaves the queue.
pub(crate) struct QueueTurn {
    entry: Arc<Entry>,
    service: Name,
    id: WaiterId,
    waker: Arc<Notify>,
    /// Until when the request may wait.
    send_by: Time,
    /// Until when it may wait while the runners are overloaded.
    wait_until: Time,
    /// Whether the request may choose a runner now.
    called: bool,
    /// Counts the request as waiting.
    _counted: GaugeGuard,
}

impl QueueTurn {
    /// Waits for a call.
    async fn wait(&mut self) -> Result<(), Refusal> {
        loop {
            let now = self.entry.now();
            let wake = self.send_by.min(now.after(RECHECK_INTERVAL));
            let wake = self.entry.clock.instant(wake);
            let called = tokio::time::timeout_at(wake, self.waker.notified()).await;
            let now = self.entry.now();
            let mut state = self.entry.state();
            let refused = if !state.waiting.contains(&self.service, self.id) {
                Some(RefusalCause::Full)
            } else {
                self.is_expired(now, &state)
                    .then_some(RefusalCause::Expired)
            };
            if let Some(cause) = refused {
                let capacity = state.capacity(now, &self.service);
                let queue = state
                    .waiting
                    .queues
                    .entry(self.service.clone())
                    .or_default();
                return Err(queue.order.refusal(cause, capacity));
            }
            if called.is_ok() {
                self.called = true;
                return Ok(());
            }
            state.recheck_waiting(now, &self.service);
        }
    }

    /// Returns whether the request may not wait any longer. In an overload late requests are held back, and a
    /// refused caller is to have time left to come back.
    fn is_expired(&self, now: Time, state: &EntryState) -> bool {
        let is_pressed = state.concurrency.is_pressed(now, &self.service);
        now >= self.send_by || (is_pressed && now >= self.wait_until)
    }

    /// Leaves the queue with a place at a runner.
    pub(crate) fn take(self) {
        let mut state = self.entry.state();
        if let Some(queue) = state.waiting.queues.get_mut(&self.service) {
            queue.order.take_turn(self.id);
        }
    }
}

impl Drop for QueueTurn {
    fn drop(&mut self) {
        let now = self.entry.now();
        let mut state = self.entry.state();
        if let Some(queue) = state.waiting.queues.get_mut(&self.service) {
            queue.order.leave(self.id);
            queue.wakers.remove(&self.id);
        }
        state.call_waiting(now, &self.service, Round::Same);
    }
}

impl ActiveRequest {
    /// Gives back what the request holds for an attempt that is not sent.
    pub(crate) fn release_choice(&mut self) {
        self.slot = None;
        self.place = None;
        self.turn = None;
    }

    /// Waits until the request may choose a runner again.
    pub(crate) async fn wait_for_room(&mut self) -> Result<(), DispatchError> {
        self.step = Step::Queue;
        let began_at = self.entry.now();
        let waited = match self.join_queue(began_at) {
            Ok(mut turn) => {
                let waited = turn.wait().await;
                self.turn = Some(turn);
                waited
            }
            Err(refusal) => Err(refusal),
        };
        let waited_for = self.entry.now().since(began_at);
        self.queue_time += waited_for;
        waited.map_err(|refusal| {
            self.wait_time += waited_for;
            self.refuse_wait(refusal)
        })
    }

    /// Enters the queue, or goes on waiting there after a call that could not be used.
    fn join_queue(&mut self, now: Time) -> Result<QueueTurn, Refusal> {
        let entry = self.entry.clone();
        let mut state = entry.state();
        if let Some(mut turn) = self.turn.take() {
            turn.called = false;
            state.call_waiting(now, &self.service, Round::Same);
            return Ok(turn);
        }
        let state = &mut *state;
        let capacity = state.capacity(now, &self.service);
        state.waiting.last_id += 1;
        let waiter = Waiter {
            id: state.waiting.last_id,
            priority: self.priority,
            since: now,
            goal_at: self.arrival.after(self.route.goal),
            deadline: self.deadline,
        };
        let waker = state.waiting.enter(now, &self.service, waiter, capacity)?;
        state.recheck_waiting(now, &self.service);
        Ok(QueueTurn {
            entry: self.entry.clone(),
            service: self.service.clone(),
            id: waiter.id,
            waker,
            send_by: waiter.send_by(now, capacity.service_time),
            wait_until: waiter.wait_until(now, capacity.service_time),
            called: false,
            _counted: GaugeGuard::new(&self.entry.metrics.service_queue),
        })
    }

    /// Counts how long the request has waited in the queue, if it did.
    pub(crate) fn observe_queue_time(&self) {
        if !self.queue_time.is_zero() {
            let wait_s = &self.entry.metrics.service_wait_s;
            wait_s.observe(self.queue_time.as_secs_f64());
        }
    }

    fn refuse_wait(&mut self, refusal: Refusal) -> DispatchError {
        self.release_choice();
        let cause = refusal.cause.to_string();
        let refusals = &self.entry.metrics.service_refusals;
        refusals.with_label_values(&[cause.as_str()]).inc();
        let cause = FailureCause::Queue(refusal);
        if self.attempts.may_have_run() {
            DispatchError::Unknown(cause)
        } else {
            DispatchError::Refused(cause)
        }
    }
}

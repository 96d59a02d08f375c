//! A test harness for the agent: a virtual clock and a fake engine, table and permit coordinator.
//! Every action of the agent is checked against the invariants.

#![allow(dead_code, unused_imports)]

pub(crate) use decision::agent::Action;
pub(crate) use decision::agent::AgentConfig;
pub(crate) use decision::agent::AgentCore;
pub(crate) use decision::agent::CommandFault;
pub(crate) use decision::agent::EngineResult;
pub(crate) use decision::agent::Event;
pub(crate) use decision::agent::JobEnd;
pub(crate) use decision::collections::Map;
pub(crate) use decision::collections::Set;
pub(crate) use decision::drain::Reason;
pub(crate) use decision::ids::Head;
pub(crate) use decision::ids::Incarnation;
pub(crate) use decision::ids::Name;
pub(crate) use decision::ids::Priority;
pub(crate) use decision::ids::RequestId;
pub(crate) use decision::job::Failure;
pub(crate) use decision::job::Job;
pub(crate) use decision::job::Outcome;
pub(crate) use decision::job::Refusal;
pub(crate) use decision::job::Target;
pub(crate) use decision::lease::LeaseCall;
pub(crate) use decision::lease::LeaseReply;
pub(crate) use decision::lease::LeaseRow;
pub(crate) use decision::ledger::Admission;
pub(crate) use decision::ledger::AttemptKey;
pub(crate) use decision::ledger::Ledger;
pub(crate) use decision::permit::Coordinator;
pub(crate) use decision::time::Time;
pub(crate) use fastrand::Rng;
pub(crate) use objects::AdapterVersion;
pub(crate) use objects::Backend;
pub(crate) use objects::Fencing;
pub(crate) use objects::ObjectSet;
pub(crate) use std::collections::BTreeMap;
pub(crate) use std::sync::Arc;
pub(crate) use std::time::Duration;
pub(crate) const OWN: Incarnation = Incarnation(7);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn config(slots: u32, batch: u32, queue: u32) -> AgentConfig {
    AgentConfig {
        head: Head::default(),
        backend: Backend::Model("base".into()),
        slots,
        batch,
        queue,
        fencing: Fencing::Checked,
        draining: false,
        set: Arc::new(ObjectSet::default()),
    }
}

pub(crate) fn job(request: u128, name: &str) -> Job {
    Job {
        request: RequestId(request),
        attempt: 1,
        head: Head::default(),
        workspace: "w".into(),
        route: "r".into(),
        target: Target::Version {
            name: name.into(),
            weights: "s".into(),
            digest: "d".into(),
        },
        priority: Priority::Interactive,
        left: Duration::from_secs(30),
        claim: None,
        row: None,
        path: "/v1/completions".into(),
        stream: false,
        prefix: 0,
    }
}

pub(crate) fn claimed(request: u128, name: &str) -> Job {
    Job {
        claim: Some(OWN),
        row: Some(format!("claim/w/{request}")),
        priority: Priority::Booking,
        ..job(request, name)
    }
}

pub(crate) fn key(request: u128) -> AttemptKey {
    AttemptKey {
        request: RequestId(request),
        attempt: 1,
    }
}

pub(crate) struct Harness {
    pub(crate) now: Time,
    pub(crate) core: AgentCore,
    pub(crate) rng: Rng,
    pub(crate) load_time: Duration,
    pub(crate) service_time: Duration,
    /// The time that a write of a claim row takes.
    pub(crate) write_time: Duration,
    /// The faults of the next loads, the last one first; further loads succeed.
    pub(crate) load_faults: Vec<CommandFault>,
    pub(crate) engine_up: bool,
    /// Whether the engine rejects unloads.
    pub(crate) refuse_unloads: bool,
    pub(crate) table_up: bool,
    pub(crate) ticking: bool,
    pub(crate) tick_interval: Duration,
    /// Whether the ends of claimed jobs reach the entry.
    pub(crate) entry_reachable: bool,
    pub(crate) resident: Set<Name>,
    pub(crate) engine_jobs: Map<AttemptKey, Name>,
    pub(crate) lease_row: Option<(u64, LeaseRow)>,
    pub(crate) coordinator: Coordinator,
    pub(crate) grant_permits: bool,
    pub(crate) queue_limit: usize,
    pub(crate) submitted: Vec<AttemptKey>,
    pub(crate) loads: Vec<(Time, Name, u64)>,
    pub(crate) unloads: Vec<Name>,
    pub(crate) ends: Vec<JobEnd>,
    pub(crate) refused: Vec<(AttemptKey, Refusal, Option<Duration>)>,
    pub(crate) settled: Vec<(AttemptKey, Outcome)>,
    pub(crate) duplicates: Vec<(AttemptKey, Outcome)>,
    pub(crate) permit_requests: Vec<(Time, Name)>,
    pub(crate) returned_permits: Vec<u64>,
    pub(crate) claim_writes: Vec<(String, Outcome)>,
    pub(crate) lease_calls: Vec<LeaseCall>,
    pub(crate) logs: Vec<(Time, String)>,
    pub(crate) exited_at: Option<Time>,
    served_names: Map<AttemptKey, Name>,
    not_run: Set<AttemptKey>,
    submitted_claims: Set<RequestId>,
    scheduled: BTreeMap<(Time, u64), Event>,
    seq: u64,
    next_tick: Time,
}

impl Harness {
    /// Returns an agent that holds the lease and can load at once, with an empty engine.
    pub(crate) fn new(config: AgentConfig) -> Harness {
        let mut harness = Harness::unstarted(config, OWN);
        harness.advance(ms(20));
        harness
    }

    /// Returns an agent before its first tick.
    pub(crate) fn unstarted(config: AgentConfig, own: Incarnation) -> Harness {
        let queue_limit = config.queue as usize;
        let mut harness = Harness {
            now: Time::default(),
            core: AgentCore::new("e1".into(), own),
            rng: Rng::with_seed(1),
            load_time: ms(250),
            service_time: ms(100),
            write_time: ms(5),
            load_faults: Vec::new(),
            engine_up: true,
            refuse_unloads: false,
            table_up: true,
            ticking: true,
            tick_interval: ms(10),
            entry_reachable: true,
            resident: Set::default(),
            engine_jobs: Map::default(),
            lease_row: None,
            coordinator: Coordinator::new(Time::default(), 1_000.0, 64, 1),
            grant_permits: true,
            queue_limit,
            submitted: Vec::new(),
            loads: Vec::new(),
            unloads: Vec::new(),
            ends: Vec::new(),
            refused: Vec::new(),
            settled: Vec::new(),
            duplicates: Vec::new(),
            permit_requests: Vec::new(),
            returned_permits: Vec::new(),
            claim_writes: Vec::new(),
            lease_calls: Vec::new(),
            logs: Vec::new(),
            exited_at: None,
            served_names: Map::default(),
            not_run: Set::default(),
            submitted_claims: Set::default(),
            scheduled: BTreeMap::new(),
            seq: 0,
            next_tick: Time::default(),
        };
        harness.handle(Event::Config(Box::new(config)));
        harness.handle(Event::Peers(vec!["e1".into()]));
        harness
    }

    /// Records the served name of a job. Needed for jobs that are not passed to `dispatch`.
    pub(crate) fn register(&mut self, job: &Job) {
        let name = job.target.served_name().clone();
        self.served_names.insert(AttemptKey::of(job), name);
    }

    pub(crate) fn dispatch(&mut self, job: Job) {
        self.register(&job);
        self.handle(Event::Dispatch(Box::new(job)));
    }

    /// Passes an event to the agent and carries out the resulting actions.
    pub(crate) fn handle(&mut self, event: Event) {
        let actions = self.core.handle(self.now, event, &mut self.rng);
        for action in actions {
            self.perform(action);
        }
        let queued: usize = self.core.job_counts().1.iter().sum();
        assert!(
            queued <= self.queue_limit,
            "queue bound: {queued} jobs queued"
        );
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.scheduled
            .insert((self.now.after(after), self.seq), event);
    }

    /// Advances the virtual clock and handles the ticks and scheduled events on the way.
    pub(crate) fn advance(&mut self, step: Duration) {
        let end = self.now.after(step);
        loop {
            let next = self.scheduled.first_key_value().map(|(at, _)| *at);
            let tick = (self.next_tick, u64::MAX);
            match next {
                Some(at) if at <= tick && at.0 <= end => {
                    let event = self.scheduled.remove(&at).expect("the event is scheduled");
                    self.now = self.now.max(at.0);
                    self.handle(event);
                }
                _ if tick.0 <= end => {
                    self.now = self.now.max(tick.0);
                    self.next_tick = self.now.after(self.tick_interval);
                    if self.ticking {
                        self.handle(Event::Tick);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Simulates an engine restart: no version is resident any more and running requests fail.
    pub(crate) fn restart_engine(&mut self) {
        self.resident.clear();
        let keys: Vec<AttemptKey> = self.engine_jobs.drain().map(|(key, _)| key).collect();
        for key in keys {
            self.handle(Event::AttemptEnded(
                key,
                EngineResult::Incomplete(Failure::Truncated),
            ));
        }
    }

    pub(crate) fn outcome(&self, request: u128) -> Option<Outcome> {
        let end = self.ends.iter().find(|end| end.key == key(request));
        end.map(|end| end.outcome)
    }

    pub(crate) fn end(&self, request: u128) -> &JobEnd {
        let end = self.ends.iter().find(|end| end.key == key(request));
        end.expect("the job has ended")
    }

    pub(crate) fn refusal(&self, request: u128) -> Option<Refusal> {
        let refused = self.refused.iter().find(|held| held.0 == key(request));
        refused.map(|held| held.1)
    }

    fn record_outcome(&mut self, key: AttemptKey, outcome: Outcome) {
        if matches!(outcome, Outcome::NotRun(_)) {
            self.not_run.insert(key);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Accept(_) => {}
            Action::Refuse { key, reason, after } => {
                self.record_outcome(key, Outcome::NotRun(reason));
                self.refused.push((key, reason, after));
            }
            Action::Duplicate(key, outcome) => {
                self.record_outcome(key, outcome);
                self.duplicates.push((key, outcome));
            }
            Action::Settled(key, outcome) => {
                self.record_outcome(key, outcome);
                self.settled.push((key, outcome));
            }
            Action::RequestPermit(to, request) => {
                self.permit_requests.push((self.now, to.clone()));
                if self.grant_permits {
                    let version = request.version.clone();
                    let reply = Some(self.coordinator.request(self.now, request));
                    self.schedule(
                        ms(1),
                        Event::Permit {
                            version,
                            from: to,
                            reply,
                        },
                    );
                }
            }
            Action::ReturnPermit(_, id) => {
                self.returned_permits.push(id);
                self.coordinator.release(self.now, id);
            }
            Action::Load {
                version, fencing, ..
            } => self.load(version, fencing),
            Action::Unload { version, .. } => self.unload(version),
            Action::Submit(key) => self.submit(key),
            Action::CancelAtEngine(key) => {
                if self.engine_jobs.remove(&key).is_some() {
                    let end =
                        Event::AttemptEnded(key, EngineResult::Incomplete(Failure::Truncated));
                    self.schedule(ms(1), end);
                }
            }
            Action::ReadResident(epoch) => {
                let names = self.resident.iter().cloned().collect();
                let names = self.engine_up.then_some(names);
                self.schedule(ms(1), Event::Resident { epoch, names });
            }
            Action::End(ended) => self.on_job_end(ended),
            Action::WriteClaim { key, row, outcome } => {
                self.claim_writes.push((row, outcome));
                self.schedule(self.write_time, Event::ClaimWritten(key));
            }
            Action::Lease(call) => self.on_lease_call(call),
            Action::Log(line) => self.logs.push((self.now, line)),
            Action::Exit => self.exited_at = Some(self.now),
        }
    }

    fn load(&mut self, version: Name, fencing: u64) {
        self.loads.push((self.now, version.clone(), fencing));
        let result = match self.load_faults.pop() {
            Some(fault) => Err(fault),
            None if self.engine_up => Ok(()),
            None => Err(CommandFault::Failed),
        };
        if result.is_ok() {
            self.resident.insert(version.clone());
        }
        self.schedule(self.load_time, Event::LoadEnded(version, result));
    }

    fn unload(&mut self, version: Name) {
        let used = self.engine_jobs.values().any(|name| *name == version);
        assert!(!used, "pinned-adapter: {version} unloaded while in use");
        self.unloads.push(version.clone());
        let result = match self.refuse_unloads {
            true => Err(CommandFault::Failed),
            false => Ok(()),
        };
        if result.is_ok() {
            self.resident.remove(&version);
        }
        self.schedule(ms(2), Event::UnloadEnded(version, result));
    }

    fn submit(&mut self, key: AttemptKey) {
        let seen = self.submitted.contains(&key);
        assert!(!seen, "at-most-once: {key} submitted twice");
        let reported = self.not_run.contains(&key);
        assert!(!reported, "not-run-means-not-run: {key} submitted");
        if self.core.is_claimed(key) {
            let first = self.submitted_claims.insert(key.request);
            assert!(first, "at-most-once: request of {key} submitted twice");
        }
        self.submitted.push(key);
        let name = self.served_names[&key].clone();
        if !self.engine_up || (!self.resident.contains(&name) && &*name != "base") {
            self.schedule(ms(1), Event::AttemptEnded(key, EngineResult::NotRun));
            return;
        }
        self.engine_jobs.insert(key, name);
        self.schedule(self.service_time / 2, Event::ResponseStarted(key));
        self.schedule(
            self.service_time,
            Event::AttemptEnded(key, EngineResult::Complete),
        );
    }

    fn on_job_end(&mut self, ended: JobEnd) {
        self.engine_jobs.remove(&ended.key);
        self.record_outcome(ended.key, ended.outcome);
        if matches!(ended.outcome, Outcome::NotRun(_)) && self.submitted.contains(&ended.key) {
            self.submitted_claims.remove(&ended.key.request);
        }
        let delivered = Event::Delivered(ended.key, self.entry_reachable);
        self.schedule(ms(1), delivered);
        self.ends.push(ended);
    }

    fn on_lease_call(&mut self, call: LeaseCall) {
        self.lease_calls.push(call);
        let answer = match call {
            _ if !self.table_up => LeaseReply::Failed,
            LeaseCall::Read => LeaseReply::Row(self.lease_row),
            LeaseCall::Write { version, row } => {
                let held = self.lease_row.map_or(0, |held| held.0);
                if held == version {
                    self.lease_row = Some((held + 1, row));
                    LeaseReply::Written(held + 1)
                } else {
                    LeaseReply::Conflict
                }
            }
        };
        self.schedule(ms(2), Event::Lease(answer));
    }
}

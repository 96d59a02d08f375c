//! An agent with a virtual clock, a fake engine, table and permit coordinator, which checks the
//! invariants at every action.

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
    /// The time that the table takes to write a claim row.
    pub(crate) write_time: Duration,
    /// Loads that still fail, and how.
    pub(crate) failing: Vec<CommandFault>,
    pub(crate) engine_up: bool,
    /// Whether the engine refuses to unload.
    pub(crate) keeping: bool,
    pub(crate) table_up: bool,
    pub(crate) ticking: bool,
    pub(crate) tick: Duration,
    /// Whether ends of claimed jobs reach the entry.
    pub(crate) delivering: bool,
    pub(crate) resident: Set<Name>,
    pub(crate) running: Map<AttemptKey, Name>,
    pub(crate) row: Option<(u64, LeaseRow)>,
    pub(crate) coordinator: Coordinator,
    pub(crate) permits: bool,
    pub(crate) limit: usize,
    pub(crate) submits: Vec<AttemptKey>,
    pub(crate) loads: Vec<(Time, Name, u64)>,
    pub(crate) unloads: Vec<Name>,
    pub(crate) ends: Vec<JobEnd>,
    pub(crate) refused: Vec<(AttemptKey, Refusal, Option<Duration>)>,
    pub(crate) settled: Vec<(AttemptKey, Outcome)>,
    pub(crate) duplicates: Vec<(AttemptKey, Outcome)>,
    pub(crate) asks: Vec<(Time, Name)>,
    pub(crate) returned: Vec<u64>,
    pub(crate) writes: Vec<(String, Outcome)>,
    pub(crate) leases: Vec<LeaseCall>,
    pub(crate) logs: Vec<(Time, String)>,
    pub(crate) left: Option<Time>,
    names: Map<AttemptKey, Name>,
    not_run: Set<AttemptKey>,
    claims: Set<RequestId>,
    later: BTreeMap<(Time, u64), Event>,
    seq: u64,
    next_tick: Time,
}

impl Harness {
    /// Returns an agent with lease, permit and empty engine that can load at once.
    pub(crate) fn new(config: AgentConfig) -> Harness {
        let mut harness = Harness::cold(config, OWN);
        harness.run(ms(20));
        harness
    }

    /// Returns an agent before its first tick.
    pub(crate) fn cold(config: AgentConfig, own: Incarnation) -> Harness {
        let limit = config.queue as usize;
        let mut harness = Harness {
            now: Time::default(),
            core: AgentCore::new("e1".into(), own),
            rng: Rng::with_seed(1),
            load_time: ms(250),
            service_time: ms(100),
            write_time: ms(5),
            failing: Vec::new(),
            engine_up: true,
            keeping: false,
            table_up: true,
            ticking: true,
            tick: ms(10),
            delivering: true,
            resident: Set::default(),
            running: Map::default(),
            row: None,
            coordinator: Coordinator::new(Time::default(), 1_000.0, 64, 1),
            permits: true,
            limit,
            submits: Vec::new(),
            loads: Vec::new(),
            unloads: Vec::new(),
            ends: Vec::new(),
            refused: Vec::new(),
            settled: Vec::new(),
            duplicates: Vec::new(),
            asks: Vec::new(),
            returned: Vec::new(),
            writes: Vec::new(),
            leases: Vec::new(),
            logs: Vec::new(),
            left: None,
            names: Map::default(),
            not_run: Set::default(),
            claims: Set::default(),
            later: BTreeMap::new(),
            seq: 0,
            next_tick: Time::default(),
        };
        harness.give(Event::Config(Box::new(config)));
        harness.give(Event::Peers(vec!["e1".into()]));
        harness
    }

    /// Notes what a job that arrives by another way runs on.
    pub(crate) fn know(&mut self, job: &Job) {
        let name = job.target.served_name().clone();
        self.names.insert(AttemptKey::of(job), name);
    }

    pub(crate) fn dispatch(&mut self, job: Job) {
        self.know(&job);
        self.give(Event::Dispatch(Box::new(job)));
    }

    /// Takes an event in and carries the actions out.
    pub(crate) fn give(&mut self, event: Event) {
        let actions = self.core.handle(self.now, event, &mut self.rng);
        for action in actions {
            self.act(action);
        }
        let queued: usize = self.core.job_counts().1.iter().sum();
        assert!(queued <= self.limit, "queue bound: {queued} jobs queued");
    }

    pub(crate) fn give_later(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.later.insert((self.now.after(after), self.seq), event);
    }

    /// Lets virtual time pass.
    pub(crate) fn run(&mut self, step: Duration) {
        let end = self.now.after(step);
        loop {
            let next = self.later.first_key_value().map(|(at, _)| *at);
            let tick = (self.next_tick, u64::MAX);
            match next {
                Some(at) if at <= tick && at.0 <= end => {
                    let event = self.later.remove(&at).expect("event is there");
                    self.now = self.now.max(at.0);
                    self.give(event);
                }
                _ if tick.0 <= end => {
                    self.now = self.now.max(tick.0);
                    self.next_tick = self.now.after(self.tick);
                    if self.ticking {
                        self.give(Event::Tick);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Empties the engine, as a restart does; running requests break off.
    pub(crate) fn restart_engine(&mut self) {
        self.resident.clear();
        let keys: Vec<AttemptKey> = self.running.drain().map(|(key, _)| key).collect();
        for key in keys {
            self.give(Event::AttemptEnded(
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

    fn tell(&mut self, key: AttemptKey, outcome: Outcome) {
        if matches!(outcome, Outcome::NotRun(_)) {
            self.not_run.insert(key);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Accept(_) => {}
            Action::Refuse { key, reason, after } => {
                self.tell(key, Outcome::NotRun(reason));
                self.refused.push((key, reason, after));
            }
            Action::Duplicate(key, outcome) => {
                self.tell(key, outcome);
                self.duplicates.push((key, outcome));
            }
            Action::Settled(key, outcome) => {
                self.tell(key, outcome);
                self.settled.push((key, outcome));
            }
            Action::AskPermit(to, ask) => {
                self.asks.push((self.now, to.clone()));
                if self.permits {
                    let version = ask.version.clone();
                    let reply = Some(self.coordinator.request(self.now, ask));
                    self.give_later(
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
                self.returned.push(id);
                self.coordinator.release(self.now, id);
            }
            Action::Load {
                version, fencing, ..
            } => self.load(version, fencing),
            Action::Unload { version, .. } => self.unload(version),
            Action::Submit(key) => self.submit(key),
            Action::CancelAtEngine(key) => {
                if self.running.remove(&key).is_some() {
                    let end =
                        Event::AttemptEnded(key, EngineResult::Incomplete(Failure::Truncated));
                    self.give_later(ms(1), end);
                }
            }
            Action::ReadResident(epoch) => {
                let names = self.resident.iter().cloned().collect();
                let names = self.engine_up.then_some(names);
                self.give_later(ms(1), Event::Resident { epoch, names });
            }
            Action::End(ended) => self.ended(ended),
            Action::WriteClaim { key, row, outcome } => {
                self.writes.push((row, outcome));
                self.give_later(self.write_time, Event::ClaimWritten(key));
            }
            Action::Lease(call) => self.table(call),
            Action::Log(line) => self.logs.push((self.now, line)),
            Action::Exit => self.left = Some(self.now),
        }
    }

    fn load(&mut self, version: Name, fencing: u64) {
        self.loads.push((self.now, version.clone(), fencing));
        let result = match self.failing.pop() {
            Some(fault) => Err(fault),
            None if self.engine_up => Ok(()),
            None => Err(CommandFault::Failed),
        };
        if result.is_ok() {
            self.resident.insert(version.clone());
        }
        self.give_later(self.load_time, Event::LoadEnded(version, result));
    }

    fn unload(&mut self, version: Name) {
        let used = self.running.values().any(|name| *name == version);
        assert!(!used, "pinned-adapter: {version} unloaded while in use");
        self.unloads.push(version.clone());
        let result = match self.keeping {
            true => Err(CommandFault::Failed),
            false => Ok(()),
        };
        if result.is_ok() {
            self.resident.remove(&version);
        }
        self.give_later(ms(2), Event::UnloadEnded(version, result));
    }

    fn submit(&mut self, key: AttemptKey) {
        let seen = self.submits.contains(&key);
        assert!(!seen, "at-most-once: {key} submitted twice");
        let told = self.not_run.contains(&key);
        assert!(!told, "not-run-means-not-run: {key} submitted");
        if self.core.is_claimed(key) {
            let first = self.claims.insert(key.request);
            assert!(first, "at-most-once: request of {key} submitted twice");
        }
        self.submits.push(key);
        let name = self.names[&key].clone();
        if !self.engine_up || (!self.resident.contains(&name) && &*name != "base") {
            self.give_later(ms(1), Event::AttemptEnded(key, EngineResult::NotRun));
            return;
        }
        self.running.insert(key, name);
        self.give_later(self.service_time / 2, Event::ResponseStarted(key));
        self.give_later(
            self.service_time,
            Event::AttemptEnded(key, EngineResult::Complete),
        );
    }

    fn ended(&mut self, ended: JobEnd) {
        self.running.remove(&ended.key);
        self.tell(ended.key, ended.outcome);
        if matches!(ended.outcome, Outcome::NotRun(_)) && self.submits.contains(&ended.key) {
            self.claims.remove(&ended.key.request);
        }
        let delivered = Event::Delivered(ended.key, self.delivering);
        self.give_later(ms(1), delivered);
        self.ends.push(ended);
    }

    fn table(&mut self, call: LeaseCall) {
        self.leases.push(call);
        let answer = match call {
            _ if !self.table_up => LeaseReply::Failed,
            LeaseCall::Read => LeaseReply::Row(self.row),
            LeaseCall::Write { version, row } => {
                let held = self.row.map_or(0, |held| held.0);
                if held == version {
                    self.row = Some((held + 1, row));
                    LeaseReply::Written(held + 1)
                } else {
                    LeaseReply::Conflict
                }
            }
        };
        self.give_later(ms(2), Event::Lease(answer));
    }
}

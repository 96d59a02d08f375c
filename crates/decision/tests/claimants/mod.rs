//! Simulates entries, agents and the table in virtual time, with faults according to a plan.

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use decision::claim::Claim;
use decision::claim::ClaimAction;
use decision::claim::ClaimEvent;
use decision::claim::ClaimRow;
use decision::claim::ClaimedAttempt;
use decision::claim::StoredOutcome;
use decision::claim::group::WriteResult;
use decision::ids::Attempt;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Priority;
use decision::ids::RequestId;
use decision::job::Job;
use decision::job::Outcome;
use decision::job::Target;
use decision::ledger::Admission;
use decision::ledger::AttemptKey;
use decision::ledger::Ledger;
use decision::time::Time;

/// The timeout of one call to the table or an agent, in milliseconds.
const TIMEOUT_MS: u64 = 150;
/// The time from the start of a call to its deadline, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// The end of the simulation, in milliseconds.
const END_MS: u64 = 30_000;

/// The calls and faults of one case, drawn at random.
#[derive(Debug, TypeGenerator)]
pub(crate) struct FaultPlan {
    seed: u64,
    /// The probability that a message is lost, in 1/1024.
    loss: u8,
    /// The probability that a message is duplicated, in 1/1024.
    duplicate: u8,
    /// The probability that a message is late, in 1/1024.
    late: u8,
    /// Entry, key, body and start of each call.
    calls: [(u8, u8, u8, u16); 8],
    /// Agent and time of each restart.
    restarts: [(u8, u16); 3],
    /// Entry, start and length of each pause.
    pauses: [(u8, u16, u16); 3],
    /// Start and length of each outage of the table.
    outages: [(u16, u16); 2],
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    Complete,
    Replay(String),
    NotRun,
    Unknown,
    Conflict,
}

/// One call to an entry.
pub(crate) struct Call {
    entry: usize,
    pub(crate) key: String,
    pub(crate) body: String,
    claim: Option<Claim>,
    /// The number of the action in progress; results of earlier actions are ignored.
    step: u64,
    pub(crate) dispatched: Vec<ClaimedAttempt>,
    pub(crate) reply: Option<Reply>,
}

#[derive(Clone, Debug)]
enum Message {
    Start(usize),
    Event(usize, u64, ClaimEvent),
    Commit(usize, u64, u64, ClaimRow),
    Read(usize, u64),
    Dispatch(usize, u64, ClaimedAttempt),
    Settle(usize, u64, ClaimedAttempt),
    Submit(usize, Incarnation, usize, u64, AttemptKey),
    Store(String, u64, ClaimRow),
    Restart(usize),
}

struct Agent {
    incarnation: Incarnation,
    ledger: Ledger,
}

/// One submission of a request to an engine.
pub(crate) struct Run {
    pub(crate) key: String,
    pub(crate) body: String,
    pub(crate) request: RequestId,
    pub(crate) attempt: Attempt,
}

/// The simulated system.
pub(crate) struct Simulation {
    plan: FaultPlan,
    rng: fastrand::Rng,
    now: u64,
    /// The number of messages scheduled, which orders messages of one time.
    scheduled: u64,
    /// Messages by time and number.
    queue: BTreeMap<(u64, u64), Message>,
    rows: BTreeMap<String, (u64, ClaimRow)>,
    agents: Vec<Agent>,
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: Vec<Run>,
}

impl Simulation {
    pub(crate) fn run(plan: FaultPlan) -> Simulation {
        let rng = fastrand::Rng::with_seed(plan.seed);
        let agent = |incarnation| Agent {
            incarnation: Incarnation(incarnation),
            ledger: Ledger::new(Incarnation(incarnation)),
        };
        let mut simulation = Simulation {
            rng,
            now: 0,
            scheduled: 0,
            queue: BTreeMap::new(),
            rows: BTreeMap::new(),
            agents: vec![agent(1), agent(2)],
            calls: Vec::new(),
            runs: Vec::new(),
            plan,
        };
        simulation.schedule_plan();
        while let Some(((at, _), message)) = simulation.queue.pop_first() {
            if at > END_MS {
                break;
            }
            simulation.now = at;
            simulation.deliver(message);
        }
        simulation
    }

    fn schedule_plan(&mut self) {
        for (index, (entry, key, body, start)) in self.plan.calls.into_iter().enumerate() {
            self.calls.push(Call {
                entry: usize::from(entry % 2),
                key: format!("k{}", key % 3),
                // One body in sixteen differs.
                body: format!("b{}", u8::from(body < 16)),
                claim: None,
                step: 0,
                dispatched: Vec::new(),
                reply: None,
            });
            self.schedule(u64::from(start % 8_000), Message::Start(index));
        }
        for (agent, time) in self.plan.restarts {
            self.schedule(
                u64::from(time % 8_000),
                Message::Restart(usize::from(agent % 2)),
            );
        }
    }

    fn schedule(&mut self, time: u64, message: Message) {
        self.scheduled += 1;
        self.queue.insert((time, self.scheduled), message);
    }

    /// Sends a message, which may be lost, late, duplicated or reordered.
    fn send(&mut self, message: Message) {
        if self.rng.u8(..) < self.plan.loss / 4 {
            return;
        }
        let copies = 1 + u32::from(self.rng.u8(..) < self.plan.duplicate / 4);
        for _ in 0..copies {
            let late = self.rng.u8(..) < self.plan.late / 4;
            let delay = self.rng.u64(1..if late { 3_000 } else { 40 });
            self.schedule(self.now + delay, message.clone());
        }
    }

    fn is_table_down(&self) -> bool {
        let now = self.now;
        self.plan.outages.iter().any(|(start, length)| {
            let start = u64::from(start % 8_000);
            (start..start + u64::from(length % 3_000)).contains(&now)
        })
    }

    /// Returns the end of the current pause of an entry, or `None` if it is not paused.
    fn pause_end(&self, entry: usize) -> Option<u64> {
        let pauses = self.plan.pauses.iter().map(|(paused, start, length)| {
            let start = u64::from(start % 8_000);
            (
                usize::from(paused % 2),
                start,
                start + u64::from(length % 3_000),
            )
        });
        let now = self.now;
        pauses
            .filter(|(paused, start, end)| *paused == entry && (*start..*end).contains(&now))
            .map(|(.., end)| end)
            .max()
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Start(call) => self.start(call),
            Message::Event(call, step, event) => self.event(call, step, event),
            Message::Commit(call, step, version, row) => self.commit(call, step, version, row),
            Message::Read(call, step) => {
                if !self.is_table_down() {
                    let row = self.rows.get(&self.calls[call].key).cloned();
                    self.send(Message::Event(call, step, ClaimEvent::RowRead(row)));
                }
            }
            Message::Dispatch(call, step, attempt) => self.dispatch(call, step, &attempt),
            Message::Settle(call, step, attempt) => self.settle(call, step, &attempt),
            Message::Submit(agent, incarnation, call, step, key) => {
                self.submit(agent, incarnation, call, step, key)
            }
            Message::Store(key, version, row) => {
                self.write(&key, version, row);
            }
            Message::Restart(agent) => {
                let incarnation = Incarnation(self.rng.u64(10..));
                self.agents[agent] = Agent {
                    incarnation,
                    ledger: Ledger::new(incarnation),
                };
            }
        }
    }

    fn start(&mut self, index: usize) {
        if let Some(end) = self.pause_end(self.calls[index].entry) {
            return self.schedule(end, Message::Start(index));
        }
        let now = Time::from_ms(self.now);
        let request = RequestId(index as u128);
        let digest = self.calls[index].body.clone();
        let nonce = self.rng.u64(..).to_string();
        let deadline = Time::from_ms(self.now + DEADLINE_MS);
        let (claim, action) = Claim::new(now, request, digest, nonce, deadline);
        self.calls[index].claim = Some(claim);
        self.perform(index, action);
    }

    fn event(&mut self, index: usize, step: u64, event: ClaimEvent) {
        if let Some(end) = self.pause_end(self.calls[index].entry) {
            return self.schedule(end, Message::Event(index, step, event));
        }
        let call = &mut self.calls[index];
        if call.step != step || call.reply.is_some() {
            return;
        }
        let Some(claim) = &mut call.claim else {
            return;
        };
        let action = claim.next(Time::from_ms(self.now), event);
        self.perform(index, action);
    }

    fn perform(&mut self, index: usize, action: ClaimAction) {
        let call = &mut self.calls[index];
        call.step += 1;
        let step = call.step;
        let deadline = call.claim.as_ref().unwrap().action_deadline().as_ms();
        self.schedule(deadline, Message::Event(index, step, ClaimEvent::Expired));
        let timeout = self.now + TIMEOUT_MS;
        match action {
            ClaimAction::Pick => {
                let agent = self.rng.usize(..2);
                let event = ClaimEvent::Picked {
                    endpoint: agent.to_string().into(),
                    agent: self.agents[agent].incarnation,
                };
                self.schedule(self.now, Message::Event(index, step, event));
            }
            ClaimAction::Commit { row, version } => {
                let lost = ClaimEvent::Written(WriteResult::Unknown);
                self.schedule(timeout, Message::Event(index, step, lost));
                self.send(Message::Commit(index, step, version, *row));
            }
            ClaimAction::Read => {
                self.schedule(timeout, Message::Event(index, step, ClaimEvent::ReadFailed));
                self.send(Message::Read(index, step));
            }
            ClaimAction::Wait(until) => {
                self.schedule(
                    until.as_ms(),
                    Message::Event(index, step, ClaimEvent::WaitElapsed),
                );
            }
            ClaimAction::Settle(attempt) => {
                self.schedule(
                    timeout,
                    Message::Event(index, step, ClaimEvent::SettleFailed),
                );
                self.send(Message::Settle(index, step, attempt));
            }
            ClaimAction::Dispatch(attempt) => {
                self.calls[index].dispatched.push(attempt.clone());
                // The link may break before the answer arrives.
                if self.rng.u8(..) < self.plan.loss / 2 {
                    let lost = ClaimEvent::LinkLost { sent: true };
                    let at = self.now + self.rng.u64(1..500);
                    self.schedule(at, Message::Event(index, step, lost));
                }
                self.send(Message::Dispatch(index, step, attempt));
            }
            ClaimAction::NotRun(reason) => {
                self.send_outcome(index, Outcome::NotRun(reason), None);
                let call = &mut self.calls[index];
                if self.rng.bool() {
                    call.reply = Some(Reply::NotRun);
                    return;
                }
                let action = call.claim.as_mut().unwrap().retry(Time::from_ms(self.now));
                self.perform(index, action);
            }
            action => self.answer(index, &action),
        }
    }

    fn answer(&mut self, index: usize, action: &ClaimAction) {
        let reply = match action {
            ClaimAction::Complete => {
                let body = self.calls[index].body.clone();
                let answer = StoredOutcome {
                    outcome: Outcome::Ran,
                    status: 200,
                    content: String::new(),
                    body: Some(body),
                    receipt: None,
                };
                self.send_outcome(index, Outcome::Ran, Some(answer));
                Reply::Complete
            }
            ClaimAction::Replay(stored) => Reply::Replay(stored.body.clone().unwrap()),
            ClaimAction::Refuse(_) => Reply::NotRun,
            ClaimAction::Conflict => Reply::Conflict,
            _ => Reply::Unknown,
        };
        self.calls[index].reply = Some(reply);
    }

    /// Sends a write that records an outcome in the claim row; it may be lost.
    fn send_outcome(&mut self, index: usize, outcome: Outcome, answer: Option<StoredOutcome>) {
        let call = &self.calls[index];
        let Some((version, row)) = call.claim.as_ref().unwrap().outcome_write(outcome, answer)
        else {
            return;
        };
        self.send(Message::Store(call.key.clone(), version, row));
    }

    /// Applies a conditional write; returns `None` if the table is down.
    fn write(&mut self, key: &str, version: u64, row: ClaimRow) -> Option<WriteResult> {
        if self.is_table_down() {
            return None;
        }
        let current = self.rows.get(key).map_or(0, |(version, _)| *version);
        if current != version {
            return Some(WriteResult::Conflict);
        }
        self.rows.insert(key.to_owned(), (version + 1, row));
        Some(WriteResult::Committed(version + 1))
    }

    fn commit(&mut self, index: usize, step: u64, version: u64, row: ClaimRow) {
        let key = self.calls[index].key.clone();
        if let Some(result) = self.write(&key, version, row) {
            self.send(Message::Event(index, step, ClaimEvent::Written(result)));
        }
    }

    fn dispatch(&mut self, index: usize, step: u64, attempt: &ClaimedAttempt) {
        let agent: usize = attempt.endpoint.parse().unwrap();
        let job = job(attempt, &self.calls[index].key);
        let now = Time::from_ms(self.now);
        let incarnation = self.agents[agent].incarnation;
        let key = AttemptKey::of(&job);
        match self.agents[agent].ledger.admit(now, &job) {
            Admission::New => {
                let at = self.now + self.rng.u64(0..300);
                self.schedule(at, Message::Submit(agent, incarnation, index, step, key));
            }
            Admission::Seen(Outcome::Pending) => {}
            Admission::Seen(outcome) => {
                let event = ClaimEvent::Ended {
                    outcome,
                    by: incarnation,
                };
                self.send(Message::Event(index, step, event));
            }
        }
    }

    fn submit(
        &mut self,
        agent: usize,
        incarnation: Incarnation,
        index: usize,
        step: u64,
        key: AttemptKey,
    ) {
        if self.agents[agent].incarnation != incarnation || !self.agents[agent].ledger.submit(key) {
            return;
        }
        self.runs.push(Run {
            key: self.calls[index].key.clone(),
            body: self.calls[index].body.clone(),
            request: key.request,
            attempt: key.attempt,
        });
        let outcome = Outcome::Ran;
        self.agents[agent]
            .ledger
            .end(Time::from_ms(self.now), key, true, outcome);
        self.send(Message::Event(
            index,
            step,
            ClaimEvent::Ended {
                outcome,
                by: incarnation,
            },
        ));
    }

    fn settle(&mut self, index: usize, step: u64, attempt: &ClaimedAttempt) {
        let agent: usize = attempt.endpoint.parse().unwrap();
        let agent = &mut self.agents[agent];
        let key = AttemptKey {
            request: attempt.request,
            attempt: attempt.attempt,
        };
        let event = match agent.incarnation == attempt.agent {
            true => ClaimEvent::Settled(agent.ledger.settle(Time::from_ms(self.now), key)),
            false => ClaimEvent::AgentGone,
        };
        self.send(Message::Event(index, step, event));
    }
}

fn job(attempt: &ClaimedAttempt, key: &str) -> Job {
    Job {
        request: attempt.request,
        attempt: attempt.attempt,
        head: Head::default(),
        workspace: "w".into(),
        route: "r".into(),
        target: Target::Service("s".into()),
        priority: Priority::Booking,
        left: std::time::Duration::from_secs(1),
        claim: Some(attempt.agent),
        row: Some(key.to_owned()),
        path: "/".to_owned(),
        stream: false,
        prefix: 0,
    }
}

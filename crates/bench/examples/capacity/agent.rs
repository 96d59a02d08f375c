//! The cost of one agent: decisions per request, ledger, idle ticks.

use std::sync::Arc;
use std::time::Duration;

use decision::agent::Action;
use decision::agent::AgentConfig;
use decision::agent::AgentCore;
use decision::agent::EngineResult;
use decision::agent::Event;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Priority;
use decision::ids::RequestId;
use decision::job::Job;
use decision::job::Target;
use decision::ledger::AttemptKey;
use decision::time::Time;

use crate::measure::Series;
use crate::measure::heap_bytes;
use crate::measure::time_us;
use crate::sample;

const ATTEMPTS: [usize; 3] = [20_000, 80_000, 320_000];
const QUEUED: [usize; 3] = [0, 64, 192];

/// Measures over claimed attempts and over queued jobs.
pub(crate) fn measure() -> Vec<Series> {
    let mut memory = Series::new("ledger_bytes_by_claimed_attempt");
    for attempts in ATTEMPTS {
        let mut agent = Agent::new();
        let before = heap_bytes();
        for _ in 0..attempts {
            agent.serve(true);
        }
        memory.add(attempts, heap_bytes() - before);
    }
    let mut request = Series::new("agent_request_cpu_us_by_queued_job");
    let mut idle = Series::new("agent_tick_cpu_us_by_queued_job");
    for queued in QUEUED {
        let mut agent = Agent::new();
        agent.fill(64 + queued);
        request.add(queued, time_us(9, 500, || agent.serve_one_of_full()));
        idle.add(queued, time_us(9, 500, || agent.tick()));
    }
    vec![memory, request, idle]
}

struct Agent {
    core: AgentCore,
    now: Time,
    next: u128,
    running: Vec<AttemptKey>,
    rng: fastrand::Rng,
}

impl Agent {
    fn new() -> Agent {
        let set = Arc::new(sample::set(100, 2));
        let mut core = AgentCore::new("runner-0000".into(), Incarnation(1));
        let mut rng = fastrand::Rng::with_seed(1);
        let config =
            AgentConfig::for_endpoint(&set, Head::default(), "runner-0000").expect("declared");
        let mut actions = core.handle(Time(0), Event::Config(Box::new(config)), &mut rng);
        actions.extend(core.handle(Time(0), Event::Tick, &mut rng));
        let mut agent = Agent {
            core,
            now: Time(1),
            next: 0,
            running: Vec::new(),
            rng,
        };
        agent.answer_reads(actions);
        agent
    }

    /// Answers the reads of resident versions, so that the agent takes its engine for ready.
    fn answer_reads(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::ReadResident(epoch) = action {
                let event = Event::Resident {
                    epoch,
                    names: Some(Vec::new()),
                };
                let more = self.core.handle(self.now, event, &mut self.rng);
                self.answer_reads(more);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.core.handle(self.now, event, &mut self.rng) {
            if let Action::Submit(key) = action {
                self.running.push(key);
            }
        }
    }

    fn dispatch(&mut self, claimed: bool) {
        self.next += 1;
        self.now = self.now.after(Duration::from_micros(100));
        self.handle(Event::Dispatch(Box::new(job(self.next, claimed))));
    }

    fn finish_first(&mut self) {
        let key = self.running.remove(0);
        self.handle(Event::ResponseStarted(key));
        self.handle(Event::AttemptEnded(key, EngineResult::Complete));
    }

    fn serve(&mut self, claimed: bool) {
        self.dispatch(claimed);
        self.finish_first();
    }

    fn fill(&mut self, jobs: usize) {
        for _ in 0..jobs {
            self.dispatch(false);
        }
    }

    fn serve_one_of_full(&mut self) {
        self.dispatch(false);
        self.finish_first();
    }

    fn tick(&mut self) {
        self.now = self.now.after(Duration::from_micros(10));
        self.handle(Event::Tick);
    }
}

fn job(number: u128, claimed: bool) -> Job {
    Job {
        request: RequestId(number),
        attempt: 1,
        head: Head::default(),
        workspace: "workspace-0000".into(),
        route: "route-000000".into(),
        target: Target::Model("base".into()),
        priority: Priority::Interactive,
        left: Duration::from_secs(3_600),
        claim: claimed.then_some(Incarnation(1)),
        row: None,
        path: "/v1/chat/completions".to_owned(),
        stream: true,
        prefix: 0,
    }
}

//! Agent costs: decisions per request, the ledger, and ticks.

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

const ATTEMPT_COUNTS: [usize; 3] = [20_000, 80_000, 320_000];
const QUEUED_COUNTS: [usize; 3] = [0, 64, 192];

/// Measures the costs by number of claimed attempts and queued jobs.
pub(crate) fn measure() -> Vec<Series> {
    let mut ledger = Series::new("ledger_bytes_by_claimed_attempt");
    for attempts in ATTEMPT_COUNTS {
        let mut fixture = Fixture::new();
        let before = heap_bytes();
        for _ in 0..attempts {
            fixture.serve(true);
        }
        ledger.add(attempts, heap_bytes() - before);
    }
    let mut request = Series::new("agent_request_cpu_us_by_queued_job");
    let mut idle = Series::new("agent_tick_cpu_us_by_queued_job");
    for queued in QUEUED_COUNTS {
        let mut fixture = Fixture::new();
        fixture.dispatch_jobs(64 + queued);
        request.add(queued, time_us(9, 500, || fixture.serve_with_full_batch()));
        idle.add(queued, time_us(9, 500, || fixture.tick()));
    }
    vec![ledger, request, idle]
}

struct Fixture {
    core: AgentCore,
    now: Time,
    last_request: u128,
    running: Vec<AttemptKey>,
    rng: fastrand::Rng,
}

impl Fixture {
    fn new() -> Fixture {
        let set = Arc::new(sample::object_set(100, 2));
        let mut core = AgentCore::new("runner-0000".into(), Incarnation(1));
        let mut rng = fastrand::Rng::with_seed(1);
        let config = AgentConfig::for_endpoint(&set, Head::default(), "runner-0000")
            .expect("the object set contains the endpoint");
        let mut actions = core.handle(Time(0), Event::Config(Box::new(config)), &mut rng);
        actions.extend(core.handle(Time(0), Event::Tick, &mut rng));
        let mut fixture = Fixture {
            core,
            now: Time(1),
            last_request: 0,
            running: Vec::new(),
            rng,
        };
        fixture.reply_to_reads(actions);
        fixture
    }

    /// Replies to reads of the resident versions with an empty list, which makes the agent consider
    /// its engine ready.
    fn reply_to_reads(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::ReadResident(epoch) = action {
                let event = Event::Resident {
                    epoch,
                    names: Some(Vec::new()),
                };
                let actions = self.core.handle(self.now, event, &mut self.rng);
                self.reply_to_reads(actions);
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
        self.last_request += 1;
        self.now = self.now.after(Duration::from_micros(100));
        self.handle(Event::Dispatch(Box::new(build_job(
            self.last_request,
            claimed,
        ))));
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

    fn dispatch_jobs(&mut self, jobs: usize) {
        for _ in 0..jobs {
            self.dispatch(false);
        }
    }

    fn serve_with_full_batch(&mut self) {
        self.dispatch(false);
        self.finish_first();
    }

    fn tick(&mut self) {
        self.now = self.now.after(Duration::from_micros(10));
        self.handle(Event::Tick);
    }
}

fn build_job(number: u128, claimed: bool) -> Job {
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

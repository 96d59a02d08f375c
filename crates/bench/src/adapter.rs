//! Drives the decision modules of the crate that `super::rules` names: `EndpointTable` in each entry,
//! `AgentCore` beside each engine and a permit coordinator in each agent.
//!
//! Messages between agents and coordinators, and reads of the resident list, take no time.

use std::any::Any;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use fastrand::Rng;
use objects::Backend;
use objects::Endpoint;
use objects::Fencing;
use objects::Name;
use objects::ObjectSet;
use objects::Policy as Settings;
use objects::Priority;

use super::rules::agent::Action as Step;
use super::rules::agent::AgentConfig;
use super::rules::agent::AgentCore;
use super::rules::agent::CommandFault;
use super::rules::agent::EngineResult;
use super::rules::agent::Event;
use super::rules::collections::Map;
use super::rules::collections::Set;
use super::rules::ids::Head;
use super::rules::ids::Incarnation;
use super::rules::ids::RequestId;
use super::rules::job::Failure;
use super::rules::job::Job;
use super::rules::job::Outcome;
use super::rules::job::Refusal as Reason;
use super::rules::job::Target;
use super::rules::lease::LeaseCall;
use super::rules::lease::LeaseReply;
use super::rules::lease::LeaseRow;
use super::rules::ledger::AttemptKey;
use super::rules::permit::Coordinator;
use super::rules::placement::CostParams;
use super::rules::placement::EndpointId;
use super::rules::placement::EndpointOutcome;
use super::rules::placement::EndpointTable;
use super::rules::placement::InstanceState;
use super::rules::placement::Pick;
use super::rules::placement::PickArgs;
use super::rules::report::Report as LoadReport;
use super::rules::route::Pool;
use super::rules::time::Time;
use crate::arrivals::Request;
use crate::sim::Action;
use crate::sim::Actions;
use crate::sim::End;
use crate::sim::Policy;
use crate::sim::Refusal;
use crate::sim::Report;
use crate::site::Site;

/// The declared limit of an agent's queue.
const QUEUE: u32 = 1_000;

/// All entries and agents of one run.
pub struct Adapter {
    versions: Vec<Name>,
    adapters: Map<Name, u32>,
    names: Vec<Name>,
    endpoints: Map<Name, usize>,
    pool: Pool,
    entries: Vec<EndpointTable>,
    agents: Vec<Agent>,
    coordinators: Vec<Coordinator>,
    picks: Map<usize, Pick>,
    attempts: Vec<u32>,
    /// With plain health, the endpoints that each entry takes as down until their next report.
    down: Option<Vec<Set<usize>>>,
    rng: Rng,
}

/// One agent and the state outside it that its actions change.
struct Agent {
    core: AgentCore,
    up: bool,
    resident: Set<Name>,
    loading: Set<Name>,
    running: Set<AttemptKey>,
    lease: Option<(u64, LeaseRow)>,
}

impl Adapter {
    /// Returns entries and agents of a site that have adopted its objects.
    pub fn new(site: &Site, seed: u64) -> Self {
        let set = Arc::new(objects(site));
        let names: Vec<Name> = set.endpoints.keys().cloned().collect();
        let versions: Vec<Name> = (0..site.adapters).map(version).collect();
        let number = |(index, name): (usize, &Name)| (name.clone(), index);
        let mut this = Adapter {
            adapters: versions
                .iter()
                .zip(0..)
                .map(|(name, id)| (name.clone(), id))
                .collect(),
            endpoints: names.iter().enumerate().map(number).collect(),
            pool: Pool::Model("model".into()),
            entries: (0..site.entries)
                .map(|entry| places(site, &set, entry))
                .collect(),
            agents: names.iter().map(Agent::new).collect(),
            coordinators: (0..names.len())
                .map(|agent| coordinator(site, agent))
                .collect(),
            picks: Map::default(),
            attempts: Vec::new(),
            down: None,
            rng: Rng::with_seed(seed),
            versions,
            names,
        };
        for agent in 0..this.names.len() {
            let config = AgentConfig::for_endpoint(&set, Head::default(), &this.names[agent]);
            let peers = Event::Peers(this.names.clone());
            let config = Event::Config(Box::new(config.expect("the endpoint is in the set")));
            let mut out = Actions::new();
            for event in [peers, config, Event::Tick, Event::Tick] {
                this.handle(Time::default(), agent, event, &mut out);
            }
            assert!(out.is_empty(), "an agent acts before any request");
        }
        this
    }

    /// Replaces the circuit breakers: an endpoint counts as down after a failure until its next
    /// report.
    pub fn with_plain_health(mut self) -> Self {
        self.down = Some(vec![Set::default(); self.entries.len()]);
        self
    }

    /// Gives an agent one event, and those that follow from its actions.
    fn handle(&mut self, now: Time, endpoint: usize, event: Event, out: &mut Actions) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let steps = self.agents[endpoint].core.handle(now, event, &mut self.rng);
            for step in steps {
                events.extend(self.step(now, endpoint, step, out));
            }
        }
    }

    /// Carries out one action of an agent; returns the event that follows at once, if any.
    fn step(&mut self, now: Time, endpoint: usize, step: Step, out: &mut Actions) -> Option<Event> {
        let agent = &mut self.agents[endpoint];
        match step {
            Step::RequestPermit(from, ask) => {
                let version = ask.version.clone();
                let coordinator = &mut self.coordinators[self.endpoints[&from]];
                let reply = Some(coordinator.request(now, ask));
                Some(Event::Permit {
                    version,
                    from,
                    reply,
                })
            }
            Step::ReturnPermit(from, id) => {
                self.coordinators[self.endpoints[&from]].release(now, id);
                None
            }
            Step::Load { version, .. } if agent.up => {
                out.push((endpoint, Action::Load(self.adapters[&version])));
                agent.loading.insert(version);
                None
            }
            Step::Load { version, .. } => {
                Some(Event::LoadEnded(version, Err(CommandFault::Failed)))
            }
            Step::Unload { version, .. } => {
                if agent.resident.remove(&version) {
                    out.push((endpoint, Action::Unload(self.adapters[&version])));
                }
                Some(Event::UnloadEnded(version, Ok(())))
            }
            Step::Submit(key) if agent.up => {
                agent.running.insert(key);
                out.push((endpoint, Action::Submit(key.request.0 as usize)));
                Some(Event::ResponseStarted(key))
            }
            Step::Submit(key) => Some(Event::AttemptEnded(key, EngineResult::NotRun)),
            Step::ReadResident(epoch) => {
                let names = agent.up.then(|| agent.resident.iter().cloned().collect());
                Some(Event::Resident { epoch, names })
            }
            Step::Lease(call) => Some(Event::Lease(agent.table(call))),
            Step::Refuse { key, reason, .. } => {
                out.push((endpoint, refuse(key, reason)));
                None
            }
            Step::End(ended) => {
                if let Outcome::NotRun(reason) = ended.outcome {
                    out.push((endpoint, refuse(ended.key, reason)));
                }
                None
            }
            _ => None,
        }
    }

    fn key(&self, id: usize) -> AttemptKey {
        let attempt = self.attempts.get(id).copied().unwrap_or_default();
        AttemptKey {
            request: RequestId(id as u128),
            attempt,
        }
    }
}

impl Policy for Adapter {
    fn pick(&mut self, now: Clock, id: usize, request: &Request, tried: &[usize]) -> Option<usize> {
        let places = &mut self.entries[request.entry];
        let down = self.down.as_ref().map(|down| &down[request.entry]);
        let tried: Vec<EndpointId> = tried
            .iter()
            .chain(down.into_iter().flatten())
            .filter_map(|&endpoint| places.find(&self.names[endpoint]))
            .collect();
        let want = PickArgs {
            request: RequestId(id as u128),
            pool: &self.pool,
            version: Some(&self.versions[request.adapter as usize]),
            prefix: 0,
            tried: &tried,
            repeatable: request.priority != Priority::Booking,
        };
        let pick = places.pick(time(now), &mut self.rng, &want).ok()?;
        let endpoint = self.endpoints[&pick.name];
        self.picks.insert(id, pick);
        Some(endpoint)
    }

    fn learn(&mut self, now: Clock, entry: usize, endpoint: usize, report: &dyn Any) {
        if let Some(report) = report.downcast_ref::<LoadReport>() {
            self.entries[entry].apply_report(time(now), report);
            if let Some(down) = &mut self.down {
                down[entry].remove(&endpoint);
            }
        }
    }

    fn outcome(&mut self, now: Clock, entry: usize, endpoint: usize, id: usize, end: End) {
        let Some(pick) = self.picks.remove(&id) else {
            return;
        };
        let end = match end {
            End::Good(latency) => EndpointOutcome::Success(latency),
            End::Failed | End::Refused(Refusal::Down) => EndpointOutcome::Failure,
            End::Refused(Refusal::Deadline | Refusal::Busy) => EndpointOutcome::Neutral,
        };
        let end = match &mut self.down {
            Some(down) if matches!(end, EndpointOutcome::Failure) => {
                down[entry].insert(endpoint);
                EndpointOutcome::Neutral
            }
            _ => end,
        };
        self.entries[entry].finish(time(now), &mut self.rng, &pick, end);
    }

    fn offer(
        &mut self,
        now: Clock,
        endpoint: usize,
        id: usize,
        request: &Request,
        out: &mut Actions,
    ) {
        if self.attempts.len() <= id {
            self.attempts.resize(id + 1, 0);
        }
        self.attempts[id] += 1;
        let job = job(
            self.key(id),
            &self.versions[request.adapter as usize],
            request,
            now,
        );
        self.handle(time(now), endpoint, Event::Dispatch(Box::new(job)), out);
    }

    fn loaded(&mut self, now: Clock, endpoint: usize, adapter: u32, out: &mut Actions) {
        let name = self.versions[adapter as usize].clone();
        let agent = &mut self.agents[endpoint];
        agent.loading.remove(&name);
        agent.resident.insert(name.clone());
        self.handle(time(now), endpoint, Event::LoadEnded(name, Ok(())), out);
    }

    fn ended(&mut self, now: Clock, endpoint: usize, id: usize, good: bool, out: &mut Actions) {
        let key = self.key(id);
        self.agents[endpoint].running.remove(&key);
        let status = || Failure::Status {
            status: 500,
            message: String::new(),
        };
        let finish = if good {
            EngineResult::Complete
        } else {
            EngineResult::Incomplete(status())
        };
        self.handle(time(now), endpoint, Event::AttemptEnded(key, finish), out);
    }

    fn engine(&mut self, now: Clock, endpoint: usize, up: bool, out: &mut Actions) {
        let agent = &mut self.agents[endpoint];
        agent.up = up;
        if up {
            return;
        }
        agent.resident.clear();
        let mut loading: Vec<Name> = agent.loading.drain().collect();
        let mut running: Vec<AttemptKey> = agent.running.drain().collect();
        loading.sort_unstable();
        running.sort_unstable();
        for key in running {
            let end = Event::AttemptEnded(key, EngineResult::Incomplete(Failure::Truncated));
            self.handle(time(now), endpoint, end, out);
        }
        for name in loading {
            let end = Event::LoadEnded(name, Err(CommandFault::Failed));
            self.handle(time(now), endpoint, end, out);
        }
    }

    fn tick(&mut self, now: Clock, endpoint: usize, out: &mut Actions) {
        self.handle(time(now), endpoint, Event::Tick, out);
    }

    fn report(&mut self, now: Clock, endpoint: usize) -> Report {
        Rc::new(self.agents[endpoint].core.report(time(now)))
    }
}

impl Agent {
    fn new(name: &Name) -> Self {
        Agent {
            core: AgentCore::new(name.clone(), Incarnation(1)),
            up: true,
            resident: Set::default(),
            loading: Set::default(),
            running: Set::default(),
            lease: None,
        }
    }

    /// Answers a call to the table; no other process writes the row.
    fn table(&mut self, call: LeaseCall) -> LeaseReply {
        match call {
            LeaseCall::Read => LeaseReply::Row(self.lease),
            LeaseCall::Write { version, row } => {
                self.lease = Some((version + 1, row));
                LeaseReply::Written(version + 1)
            }
        }
    }
}

/// The clock of the event loop.
type Clock = decision::time::Time;

fn time(now: Clock) -> Time {
    Time(now.0)
}

fn version(adapter: usize) -> Name {
    format!("a{adapter:05}@1").into()
}

fn refuse(key: AttemptKey, reason: Reason) -> Action {
    let refusal = match reason {
        Reason::Deadline => Refusal::Deadline,
        Reason::EngineDown => Refusal::Down,
        _ => Refusal::Busy,
    };
    Action::Refuse(key.request.0 as usize, refusal)
}

fn job(key: AttemptKey, name: &Name, request: &Request, now: Clock) -> Job {
    Job {
        request: key.request,
        attempt: key.attempt,
        head: Head::default(),
        workspace: "workspace".into(),
        route: "route".into(),
        target: Target::Version {
            name: name.clone(),
            weights: name.clone(),
            digest: name.clone(),
        },
        priority: request.priority,
        left: request.due.since(now),
        claim: None,
        row: None,
        path: String::new(),
        stream: true,
        prefix: 0,
    }
}

fn coordinator(site: &Site, agent: usize) -> Coordinator {
    let base = 1 + agent as u64 * 1_000_000_000;
    Coordinator::new(
        Time::default(),
        site.loads_per_s,
        site.loads_at_once as u32,
        base,
    )
}

fn places(site: &Site, set: &ObjectSet, entry: usize) -> EndpointTable {
    let domain = format!("domain{}", entry % site.domains);
    let mut places = EndpointTable::new("region".into(), domain.into(), CostParams::default());
    let live = set
        .endpoints
        .keys()
        .map(|name| (name.clone(), InstanceState::Live))
        .collect();
    places.apply_config(set, &live);
    for name in set.endpoints.keys() {
        places.set_link(name, Some(Incarnation(1)));
    }
    places
}

/// Returns the objects that the site's operators would publish. Versions are left out: neither
/// entries nor agents look them up before the engine does.
fn objects(site: &Site) -> ObjectSet {
    let mut set = ObjectSet {
        policy: Settings {
            stall_weight: site.stall_weight,
            loads_per_s: site.loads_per_s,
            loads_at_once: site.loads_at_once as u32,
            ..Settings::default()
        },
        ..ObjectSet::default()
    };
    let model = objects::Model {
        name: "model".into(),
        base: "model".into(),
        context: None,
    };
    set.models.insert("model".into(), Arc::new(model));
    for runner in 0..site.runners {
        let name: Name = format!("runner{runner:04}").into();
        let endpoint = Endpoint {
            name: name.clone(),
            backend: Backend::Model("model".into()),
            region: "region".into(),
            domain: format!("domain{}", runner % site.domains).into(),
            slots: site.slots as u32,
            batch: site.batch as u32,
            queue: QUEUE,
            fencing: Fencing::Checked,
            draining: false,
        };
        set.endpoints.insert(name, Arc::new(endpoint));
    }
    set
}

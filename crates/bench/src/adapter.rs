//! Runs the decision logic of `super::decision_crate` as a policy of the simulation: an
//! `EndpointTable` in each entry, an `AgentCore` next to each engine, and a permit coordinator in
//! each agent.
//!
//! Messages between agents and coordinators, and reads of the resident adapters, take no simulated
//! time.

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
use objects::Policy as PolicySettings;
use objects::Priority;

use super::decision_crate::agent::Action as AgentAction;
use super::decision_crate::agent::AgentConfig;
use super::decision_crate::agent::AgentCore;
use super::decision_crate::agent::CommandFault;
use super::decision_crate::agent::EngineResult;
use super::decision_crate::agent::Event;
use super::decision_crate::collections::Map;
use super::decision_crate::collections::Set;
use super::decision_crate::ids::Head;
use super::decision_crate::ids::Incarnation;
use super::decision_crate::ids::RequestId;
use super::decision_crate::job::Failure;
use super::decision_crate::job::Job;
use super::decision_crate::job::Outcome;
use super::decision_crate::job::Refusal as AgentRefusal;
use super::decision_crate::job::Target;
use super::decision_crate::lease::LeaseCall;
use super::decision_crate::lease::LeaseReply;
use super::decision_crate::lease::LeaseRow;
use super::decision_crate::ledger::AttemptKey;
use super::decision_crate::permit::Coordinator;
use super::decision_crate::placement::CostParams;
use super::decision_crate::placement::EndpointId;
use super::decision_crate::placement::EndpointOutcome;
use super::decision_crate::placement::EndpointTable;
use super::decision_crate::placement::InstanceState;
use super::decision_crate::placement::Pick;
use super::decision_crate::placement::PickArgs;
use super::decision_crate::report::Report as LoadReport;
use super::decision_crate::route::Pool;
use super::decision_crate::time::Time;
use crate::arrivals::Request;
use crate::sim::Action;
use crate::sim::Actions;
use crate::sim::AttemptOutcome;
use crate::sim::Policy;
use crate::sim::Refusal;
use crate::sim::Report;
use crate::site::Site;

/// Declared `queue` limit of every endpoint, in requests.
const QUEUE_CAPACITY: u32 = 1_000;

/// Entries and agents of one run, driven by the code under test.
pub struct DecisionPolicy {
    /// Full version name of each adapter.
    version_names: Vec<Name>,
    /// Index of each adapter by its version name.
    adapter_indices: Map<Name, u32>,
    endpoint_names: Vec<Name>,
    endpoint_indices: Map<Name, usize>,
    pool: Pool,
    endpoint_tables: Vec<EndpointTable>,
    agents: Vec<Agent>,
    coordinators: Vec<Coordinator>,
    /// Pick of the current attempt at each request, until the entry learns its outcome.
    picks: Map<usize, Pick>,
    /// Number of attempts that reached an agent, by request.
    attempt_counts: Vec<u32>,
    /// With plain health checks, the endpoints that each entry considers down until their next
    /// report; `None` with circuit breakers.
    down_endpoints: Option<Vec<Set<usize>>>,
    rng: Rng,
}

/// An agent with the state of its engine and its lease row.
struct Agent {
    core: AgentCore,
    up: bool,
    resident: Set<Name>,
    loading: Set<Name>,
    running: Set<AttemptKey>,
    lease: Option<(u64, LeaseRow)>,
}

impl DecisionPolicy {
    /// Returns the entries and agents of a site with its configuration applied.
    ///
    /// # Panics
    ///
    /// If an agent requests an action before the first request.
    pub fn new(site: &Site, seed: u64) -> Self {
        let set = Arc::new(build_objects(site));
        let endpoint_names: Vec<Name> = set.endpoints.keys().cloned().collect();
        let version_names: Vec<Name> = (0..site.adapters).map(version_name).collect();
        let with_index = |(index, name): (usize, &Name)| (name.clone(), index);
        let mut policy = DecisionPolicy {
            adapter_indices: version_names
                .iter()
                .zip(0..)
                .map(|(name, id)| (name.clone(), id))
                .collect(),
            endpoint_indices: endpoint_names.iter().enumerate().map(with_index).collect(),
            pool: Pool::Model("model".into()),
            endpoint_tables: (0..site.entries)
                .map(|entry| new_endpoint_table(site, &set, entry))
                .collect(),
            agents: endpoint_names.iter().map(Agent::new).collect(),
            coordinators: (0..endpoint_names.len())
                .map(|agent| new_coordinator(site, agent))
                .collect(),
            picks: Map::default(),
            attempt_counts: Vec::new(),
            down_endpoints: None,
            rng: Rng::with_seed(seed),
            version_names,
            endpoint_names,
        };
        for agent in 0..policy.endpoint_names.len() {
            let config =
                AgentConfig::for_endpoint(&set, Head::default(), &policy.endpoint_names[agent]);
            let peers = Event::Peers(policy.endpoint_names.clone());
            let config = Event::Config(Box::new(
                config.expect("the object set contains the endpoint"),
            ));
            let mut actions = Actions::new();
            for event in [peers, config, Event::Tick, Event::Tick] {
                policy.handle(Time::default(), agent, event, &mut actions);
            }
            assert!(
                actions.is_empty(),
                "agent {agent} requested an action before the first request"
            );
        }
        policy
    }

    /// Replaces the circuit breakers by plain health checks: an endpoint counts as down from a
    /// failure until its next report.
    pub fn with_plain_health(mut self) -> Self {
        self.down_endpoints = Some(vec![Set::default(); self.endpoint_tables.len()]);
        self
    }

    /// Passes an event to an agent, followed by the events that result from its actions.
    fn handle(&mut self, now: Time, endpoint: usize, event: Event, actions: &mut Actions) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let agent_actions = self.agents[endpoint].core.handle(now, event, &mut self.rng);
            for action in agent_actions {
                events.extend(self.execute(now, endpoint, action, actions));
            }
        }
    }

    /// Executes an action of an agent; returns the event that follows without delay, if any.
    fn execute(
        &mut self,
        now: Time,
        endpoint: usize,
        action: AgentAction,
        actions: &mut Actions,
    ) -> Option<Event> {
        let agent = &mut self.agents[endpoint];
        match action {
            AgentAction::RequestPermit(from, request) => {
                let version = request.version.clone();
                let coordinator = &mut self.coordinators[self.endpoint_indices[&from]];
                let reply = Some(coordinator.request(now, request));
                Some(Event::Permit {
                    version,
                    from,
                    reply,
                })
            }
            AgentAction::ReturnPermit(from, id) => {
                self.coordinators[self.endpoint_indices[&from]].release(now, id);
                None
            }
            AgentAction::Load { version, .. } if agent.up => {
                actions.push((endpoint, Action::Load(self.adapter_indices[&version])));
                agent.loading.insert(version);
                None
            }
            AgentAction::Load { version, .. } => {
                Some(Event::LoadEnded(version, Err(CommandFault::Failed)))
            }
            AgentAction::Unload { version, .. } => {
                if agent.resident.remove(&version) {
                    actions.push((endpoint, Action::Unload(self.adapter_indices[&version])));
                }
                Some(Event::UnloadEnded(version, Ok(())))
            }
            AgentAction::Submit(key) if agent.up => {
                agent.running.insert(key);
                actions.push((endpoint, Action::Submit(key.request.0 as usize)));
                Some(Event::ResponseStarted(key))
            }
            AgentAction::Submit(key) => Some(Event::AttemptEnded(key, EngineResult::NotRun)),
            AgentAction::ReadResident(epoch) => {
                let names = agent.up.then(|| agent.resident.iter().cloned().collect());
                Some(Event::Resident { epoch, names })
            }
            AgentAction::Lease(call) => Some(Event::Lease(agent.lease_reply(call))),
            AgentAction::Refuse { key, reason, .. } => {
                actions.push((endpoint, refuse_action(key, reason)));
                None
            }
            AgentAction::End(ended) => {
                if let Outcome::NotRun(reason) = ended.outcome {
                    actions.push((endpoint, refuse_action(ended.key, reason)));
                }
                None
            }
            _ => None,
        }
    }

    fn attempt_key(&self, id: usize) -> AttemptKey {
        let attempt = self.attempt_counts.get(id).copied().unwrap_or_default();
        AttemptKey {
            request: RequestId(id as u128),
            attempt,
        }
    }
}

impl Policy for DecisionPolicy {
    fn pick(
        &mut self,
        now: SimTime,
        id: usize,
        request: &Request,
        tried: &[usize],
    ) -> Option<usize> {
        let table = &mut self.endpoint_tables[request.entry];
        let down_endpoints = self
            .down_endpoints
            .as_ref()
            .map(|down_endpoints| &down_endpoints[request.entry]);
        let tried: Vec<EndpointId> = tried
            .iter()
            .chain(down_endpoints.into_iter().flatten())
            .filter_map(|&endpoint| table.find(&self.endpoint_names[endpoint]))
            .collect();
        let args = PickArgs {
            request: RequestId(id as u128),
            pool: &self.pool,
            version: Some(&self.version_names[request.adapter as usize]),
            prefix: 0,
            tried: &tried,
            repeatable: request.priority != Priority::Booking,
        };
        let pick = table
            .pick(to_decision_time(now), &mut self.rng, &args)
            .ok()?;
        let endpoint = self.endpoint_indices[&pick.name];
        self.picks.insert(id, pick);
        Some(endpoint)
    }

    fn on_report(&mut self, now: SimTime, entry: usize, endpoint: usize, report: &dyn Any) {
        if let Some(report) = report.downcast_ref::<LoadReport>() {
            self.endpoint_tables[entry].apply_report(to_decision_time(now), report);
            if let Some(down_endpoints) = &mut self.down_endpoints {
                down_endpoints[entry].remove(&endpoint);
            }
        }
    }

    fn on_attempt_end(
        &mut self,
        now: SimTime,
        entry: usize,
        endpoint: usize,
        id: usize,
        outcome: AttemptOutcome,
    ) {
        let Some(pick) = self.picks.remove(&id) else {
            return;
        };
        let outcome = match outcome {
            AttemptOutcome::Success(latency) => EndpointOutcome::Success(latency),
            AttemptOutcome::Failed | AttemptOutcome::Refused(Refusal::EngineDown) => {
                EndpointOutcome::Failure
            }
            AttemptOutcome::Refused(Refusal::Deadline | Refusal::Unavailable) => {
                EndpointOutcome::Neutral
            }
        };
        let outcome = match &mut self.down_endpoints {
            Some(down_endpoints) if matches!(outcome, EndpointOutcome::Failure) => {
                down_endpoints[entry].insert(endpoint);
                EndpointOutcome::Neutral
            }
            _ => outcome,
        };
        self.endpoint_tables[entry].finish(to_decision_time(now), &mut self.rng, &pick, outcome);
    }

    fn on_request(
        &mut self,
        now: SimTime,
        endpoint: usize,
        id: usize,
        request: &Request,
        actions: &mut Actions,
    ) {
        if self.attempt_counts.len() <= id {
            self.attempt_counts.resize(id + 1, 0);
        }
        self.attempt_counts[id] += 1;
        let job = build_job(
            self.attempt_key(id),
            &self.version_names[request.adapter as usize],
            request,
            now,
        );
        self.handle(
            to_decision_time(now),
            endpoint,
            Event::Dispatch(Box::new(job)),
            actions,
        );
    }

    fn on_load_end(&mut self, now: SimTime, endpoint: usize, adapter: u32, actions: &mut Actions) {
        let name = self.version_names[adapter as usize].clone();
        let agent = &mut self.agents[endpoint];
        agent.loading.remove(&name);
        agent.resident.insert(name.clone());
        self.handle(
            to_decision_time(now),
            endpoint,
            Event::LoadEnded(name, Ok(())),
            actions,
        );
    }

    fn on_run_end(
        &mut self,
        now: SimTime,
        endpoint: usize,
        id: usize,
        complete: bool,
        actions: &mut Actions,
    ) {
        let key = self.attempt_key(id);
        self.agents[endpoint].running.remove(&key);
        let engine_error = || Failure::Status {
            status: 500,
            message: String::new(),
        };
        let result = if complete {
            EngineResult::Complete
        } else {
            EngineResult::Incomplete(engine_error())
        };
        self.handle(
            to_decision_time(now),
            endpoint,
            Event::AttemptEnded(key, result),
            actions,
        );
    }

    fn on_engine_change(&mut self, now: SimTime, endpoint: usize, up: bool, actions: &mut Actions) {
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
            self.handle(to_decision_time(now), endpoint, end, actions);
        }
        for name in loading {
            let end = Event::LoadEnded(name, Err(CommandFault::Failed));
            self.handle(to_decision_time(now), endpoint, end, actions);
        }
    }

    fn on_tick(&mut self, now: SimTime, endpoint: usize, actions: &mut Actions) {
        self.handle(to_decision_time(now), endpoint, Event::Tick, actions);
    }

    fn report(&mut self, now: SimTime, endpoint: usize) -> Report {
        Rc::new(self.agents[endpoint].core.report(to_decision_time(now)))
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

    /// Executes a lease call on the table; no other process writes the row, so writes never
    /// conflict.
    fn lease_reply(&mut self, call: LeaseCall) -> LeaseReply {
        match call {
            LeaseCall::Read => LeaseReply::Row(self.lease),
            LeaseCall::Write { version, row } => {
                self.lease = Some((version + 1, row));
                LeaseReply::Written(version + 1)
            }
        }
    }
}

/// Time of the simulation; `Time` belongs to the crate under test.
type SimTime = decision::time::Time;

fn to_decision_time(now: SimTime) -> Time {
    Time(now.0)
}

fn version_name(adapter: usize) -> Name {
    format!("a{adapter:05}@1").into()
}

fn refuse_action(key: AttemptKey, reason: AgentRefusal) -> Action {
    let refusal = match reason {
        AgentRefusal::Deadline => Refusal::Deadline,
        AgentRefusal::EngineDown => Refusal::EngineDown,
        _ => Refusal::Unavailable,
    };
    Action::Refuse(key.request.0 as usize, refusal)
}

fn build_job(key: AttemptKey, name: &Name, request: &Request, now: SimTime) -> Job {
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
        left: request.deadline.since(now),
        claim: None,
        row: None,
        path: String::new(),
        stream: true,
        prefix: 0,
    }
}

fn new_coordinator(site: &Site, agent: usize) -> Coordinator {
    let first_id = 1 + agent as u64 * 1_000_000_000;
    Coordinator::new(
        Time::default(),
        site.loads_per_s,
        site.loads_at_once as u32,
        first_id,
    )
}

fn new_endpoint_table(site: &Site, set: &ObjectSet, entry: usize) -> EndpointTable {
    let domain = format!("domain{}", entry % site.domains);
    let mut table = EndpointTable::new("region".into(), domain.into(), CostParams::default());
    let live = set
        .endpoints
        .keys()
        .map(|name| (name.clone(), InstanceState::Live))
        .collect();
    table.apply_config(set, &live);
    for name in set.endpoints.keys() {
        table.set_link(name, Some(Incarnation(1)));
    }
    table
}

/// Returns the published configuration of a site.
///
/// Adapter versions are left out: entries and agents do not look them up before they reach the
/// engine.
fn build_objects(site: &Site) -> ObjectSet {
    let mut set = ObjectSet {
        policy: PolicySettings {
            stall_weight: site.stall_weight,
            loads_per_s: site.loads_per_s,
            loads_at_once: site.loads_at_once as u32,
            ..PolicySettings::default()
        },
        ..ObjectSet::default()
    };
    let model = objects::Model {
        name: "model".into(),
        base: "model".into(),
        context: None,
    };
    set.models.insert("model".into(), Arc::new(model));
    for index in 0..site.endpoints {
        let name: Name = format!("runner{index:04}").into();
        let endpoint = Endpoint {
            name: name.clone(),
            backend: Backend::Model("model".into()),
            region: "region".into(),
            domain: format!("domain{}", index % site.domains).into(),
            slots: site.slots as u32,
            batch: site.batch as u32,
            queue: QUEUE_CAPACITY,
            fencing: Fencing::Checked,
            draining: false,
        };
        set.endpoints.insert(name, Arc::new(endpoint));
    }
    set
}

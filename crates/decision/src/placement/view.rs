//! The view of one endpoint, built from its reports and from this entry's own requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use objects::Endpoint;

use super::CostParams;
use super::EndpointId;
use super::EndpointOutcome;
use super::EndpointTable;
use super::pick::Pick;
use crate::collections::Set;
use crate::health::Health;
use crate::ids::Incarnation;
use crate::ids::Name;
use crate::report::Report;
use crate::time::Time;

/// A report is assumed not to count picks made less than this before it arrives.
const REPORT_LAG: Duration = Duration::from_millis(2);
/// A report without the draining flag that arrives within this time of a refusal as draining is
/// assumed to be older than the refusal.
const DRAINING_HOLD: Duration = Duration::from_secs(2);
/// An expected load is dropped if no report has confirmed it this long after its expected end.
const EXPECTED_LOAD_GRACE: Duration = Duration::from_secs(2);
/// Limit on the unreported picks that are tracked per endpoint.
const MAX_UNREPORTED: usize = 4_096;

/// A version that is resident or loading at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The index of the endpoint in its table.
    pub endpoint: EndpointId,
    /// The time at which the load is expected to end; `None` if the version is resident.
    pub ready_at: Option<Time>,
    /// Whether a report has shown it; otherwise it is assumed from this entry's own pick.
    pub confirmed: bool,
}

/// What an entry knows about one endpoint.
#[derive(Debug)]
pub struct EndpointView {
    /// The endpoint's object as last declared.
    pub object: Arc<Endpoint>,
    /// The hash of the endpoint's name, for rendezvous hashing.
    pub(super) hash: u64,
    /// The index of the endpoint's failure domain in the present object set.
    pub(super) domain: u32,
    /// Whether the endpoint is in the entry's own failure domain.
    pub(super) same_domain: bool,
    /// Whether the endpoint is declared and in the membership list.
    pub live: bool,
    /// Whether this entry routes to the endpoint: it is in the entry's region, or its pool has no
    /// endpoint there.
    pub routable: bool,
    /// Whether the membership list says that the instance is leaving, or its object is declared as
    /// draining.
    pub leaving: bool,
    /// Whether the entry has a working link to the agent.
    pub linked: bool,
    /// When a refusal or report last said that the endpoint is draining; `None` if it takes work.
    pub draining_since: Option<Time>,
    /// The agent's last known incarnation; 0 before the first contact.
    pub incarnation: Incarnation,
    /// When the last report of the present incarnation arrived; `None` before the first one.
    pub last_report_at: Option<Time>,
    /// The last report without its version lists; before the first one, assumed values.
    pub report: Report,
    /// The versions that the last report showed or that this entry's picks cause to be loaded.
    pub(super) versions: Set<Name>,
    /// The pick times of own requests in flight that the last report does not count yet, in
    /// ascending order.
    pub(super) unreported: VecDeque<Time>,
    /// The number of this entry's requests in flight at the endpoint.
    pub inflight: u32,
    /// Error rate, latency and circuit breaker, from this entry's own requests.
    pub health: Health,
}

impl EndpointView {
    pub(super) fn new(object: Arc<Endpoint>, hash: u64, domain: u32, same_domain: bool) -> Self {
        EndpointView {
            report: initial_report(&object),
            object,
            hash,
            domain,
            same_domain,
            live: false,
            routable: false,
            leaving: false,
            linked: true,
            draining_since: None,
            incarnation: Incarnation(0),
            last_report_at: None,
            versions: Set::default(),
            unreported: VecDeque::new(),
            inflight: 0,
            health: Health::default(),
        }
    }

    /// Returns whether the endpoint takes new work, as far as this entry knows.
    pub fn is_open(&self) -> bool {
        let present = self.live && self.routable && !self.leaving;
        present && self.draining_since.is_none() && self.linked && self.report.ready
    }

    /// Returns the number of this entry's requests that the last report does not count yet.
    pub fn unreported(&self) -> u32 {
        self.unreported.len() as u32
    }

    /// Returns whether `incarnation` differs from the known one, if any.
    fn is_replaced(&self, incarnation: Incarnation) -> bool {
        self.incarnation != Incarnation(0) && self.incarnation != incarnation
    }

    fn add_request(&mut self, now: Time) {
        self.inflight += 1;
        if self.unreported.len() < MAX_UNREPORTED {
            self.unreported.push_back(now);
        }
    }

    fn remove_request(&mut self, picked_at: Time) {
        self.inflight = self.inflight.saturating_sub(1);
        if let Ok(index) = self.unreported.binary_search(&picked_at) {
            self.unreported.remove(index);
        }
    }
}

/// Returns the report that is assumed for an endpoint before its first one.
fn initial_report(object: &Endpoint) -> Report {
    Report {
        endpoint: object.name.clone(),
        incarnation: Incarnation(0),
        seq: 0,
        generation: 0,
        running: 0,
        batch: object.batch,
        queued: 0,
        stalled: 0,
        slots: object.slots,
        idle: object.slots,
        service_ms: 0,
        load_ms: 0,
        resident: Vec::new(),
        loading: Vec::new(),
        draining: false,
        ready: true,
    }
}

impl EndpointTable {
    /// Applies a load report, unless it is no newer than the last one of the same incarnation or its
    /// endpoint is not declared. Returns whether it was applied.
    pub fn apply_report(&mut self, now: Time, report: &Report) -> bool {
        let Some(id) = self.find(&report.endpoint) else {
            return false;
        };
        let view = self.view_mut(id);
        let same_incarnation = !view.is_replaced(report.incarnation);
        if same_incarnation && view.last_report_at.is_some() && report.seq <= view.report.seq {
            return false;
        }
        if !same_incarnation {
            view.draining_since = None;
            view.unreported.clear();
        }
        let recently_draining = view
            .draining_since
            .is_some_and(|since| now < since.after(DRAINING_HOLD));
        if report.draining {
            view.draining_since = Some(now);
        } else if !recently_draining {
            view.draining_since = None;
        }
        view.incarnation = report.incarnation;
        view.last_report_at = Some(now);
        view.linked = true;
        while view
            .unreported
            .front()
            .is_some_and(|picked_at| now >= picked_at.after(REPORT_LAG))
        {
            view.unreported.pop_front();
        }
        view.report = Report {
            resident: Vec::new(),
            loading: Vec::new(),
            ..report.clone()
        };
        self.update_replicas(now, id, report, same_incarnation);
        true
    }

    /// Updates the index of replicas from a report. Expected loads that it does not show yet are kept
    /// if the incarnation is the same.
    fn update_replicas(
        &mut self,
        now: Time,
        id: EndpointId,
        report: &Report,
        same_incarnation: bool,
    ) {
        let load = self.cost_params.load_time(report.load_ms);
        let previous = std::mem::take(&mut self.view_mut(id).versions);
        let mut kept = Set::default();
        for name in &report.resident {
            kept.insert(self.record_replica(name, id, None));
        }
        for name in &report.loading {
            let known = self
                .replicas(name)
                .iter()
                .find(|replica| replica.endpoint == id);
            let known = known.and_then(|replica| replica.ready_at);
            kept.insert(self.record_replica(name, id, Some(known.unwrap_or(now.after(load)))));
        }
        for name in previous {
            if kept.contains(&name) {
                continue;
            }
            let expected = same_incarnation && self.is_load_expected(now, &name, id);
            if expected {
                kept.insert(name);
            } else {
                self.remove_replica(&name, id);
            }
        }
        self.view_mut(id).versions = kept;
    }

    fn is_load_expected(&self, now: Time, name: &str, id: EndpointId) -> bool {
        self.replicas(name).iter().any(|replica| {
            let pending = replica
                .ready_at
                .is_some_and(|ready_at| now < ready_at.after(EXPECTED_LOAD_GRACE));
            replica.endpoint == id && !replica.confirmed && pending
        })
    }

    /// Records a reported replica and returns the shared allocation of the version's name.
    fn record_replica(&mut self, name: &Name, id: EndpointId, ready_at: Option<Time>) -> Name {
        let replica = Replica {
            endpoint: id,
            ready_at,
            confirmed: true,
        };
        let key = self.homes.shared_name(name);
        let list = self.replicas.entry(key.clone()).or_default();
        match list.iter_mut().find(|known| known.endpoint == id) {
            Some(known) => *known = replica,
            None => list.push(replica),
        }
        key
    }

    pub(super) fn remove_replica(&mut self, name: &Name, id: EndpointId) {
        let Some(list) = self.replicas.get_mut(name) else {
            return;
        };
        list.retain(|replica| replica.endpoint != id);
        if list.is_empty() {
            self.replicas.remove(name);
        }
    }

    /// Records a load that this entry's own pick causes, so that later picks wait for it.
    pub(super) fn expect_load(&mut self, name: &Name, id: EndpointId, ready_at: Time) {
        let list = self.replicas.entry(name.clone()).or_default();
        if list.iter().any(|replica| replica.endpoint == id) {
            return;
        }
        list.push(Replica {
            endpoint: id,
            ready_at: Some(ready_at),
            confirmed: false,
        });
        self.view_mut(id).versions.insert(name.clone());
    }

    pub(super) fn add_request(&mut self, now: Time, id: EndpointId) {
        self.view_mut(id).add_request(now);
    }

    /// Records how a picked request ended; the request is no longer in flight.
    pub fn finish(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        pick: &Pick,
        outcome: EndpointOutcome,
    ) {
        let view = self.view_mut(pick.endpoint);
        view.remove_request(pick.picked_at);
        match outcome {
            EndpointOutcome::Success(latency) => view.health.record_success(latency, pick.probe),
            EndpointOutcome::Failure => view.health.record_failure(now, rng, pick.probe),
            EndpointOutcome::WrongAdapter => view.health.record_wrong_adapter(now, rng),
            EndpointOutcome::Draining => view.draining_since = Some(now),
            EndpointOutcome::Neutral => {}
        }
        let inconclusive = matches!(
            outcome,
            EndpointOutcome::Draining | EndpointOutcome::Neutral
        );
        if pick.probe && inconclusive {
            view.health.abandon_probe(now);
        }
    }

    /// Records that the link to an agent works, with the agent's incarnation, or that it broke
    /// (`None`). With a new incarnation, all that was reported by the old one is dropped.
    pub fn set_link(&mut self, name: &str, incarnation: Option<Incarnation>) {
        let Some(id) = self.find(name) else {
            return;
        };
        let view = self.view_mut(id);
        view.linked = incarnation.is_some();
        let Some(incarnation) = incarnation else {
            return;
        };
        let replaced = view.is_replaced(incarnation);
        view.incarnation = incarnation;
        if !replaced {
            return;
        }
        view.draining_since = None;
        view.last_report_at = None;
        view.unreported.clear();
        view.report = initial_report(&view.object);
        let versions = std::mem::take(&mut view.versions);
        for version in versions {
            self.remove_replica(&version, id);
        }
    }
}

impl CostParams {
    /// Returns the expected duration of a load: the reported one, or the default if it is 0.
    pub(super) fn load_time(&self, reported_ms: u32) -> Duration {
        let ms = if reported_ms == 0 {
            self.default_load_ms
        } else {
            reported_ms
        };
        Duration::from_millis(u64::from(ms))
    }
}

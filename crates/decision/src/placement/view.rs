//! The view of one endpoint, from its reports and this entry's own requests.

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

/// Picks younger than this when a report arrives are taken as not yet counted in it.
const REPORT_LAG: Duration = Duration::from_millis(2);
/// A report that still denies draining within this time of a refusal is taken as older than it.
const DRAIN_MEMORY: Duration = Duration::from_secs(2);
/// An expected load that no report confirmed by this time after its expected end is forgotten.
const EXPECT_GRACE: Duration = Duration::from_secs(2);
/// Unreported picks that are remembered one by one.
const MAX_UNSEEN: usize = 4_096;

/// A version at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time at which the load is expected to end; `None` if the version is resident.
    pub ready_at: Option<Time>,
    /// Whether a report has shown it; otherwise it follows from this entry's own pick.
    pub confirmed: bool,
}

/// What an entry knows of one endpoint.
#[derive(Debug)]
pub struct EndpointView {
    /// The declared endpoint.
    pub object: Arc<Endpoint>,
    /// The hash of its name, for the rendezvous order.
    pub(super) hash: u64,
    /// The index of its failure domain.
    pub(super) domain: u32,
    /// Whether the domain is the entry's own.
    pub(super) near: bool,
    /// Whether the endpoint is declared and in the membership list.
    pub live: bool,
    /// Whether this entry routes to it: it is in the entry's region, or its pool has none there.
    pub routable: bool,
    /// Whether the membership list says that the instance is leaving, or the object drains it.
    pub leaving: bool,
    /// Whether the entry has a working link to the agent.
    pub linked: bool,
    /// When a refusal or report last said that the endpoint is draining.
    pub draining_since: Option<Time>,
    /// The agent's incarnation, 0 before the first contact.
    pub incarnation: Incarnation,
    /// When the last report arrived.
    pub last_report_at: Option<Time>,
    /// The last report, without its names.
    pub report: Report,
    /// Versions that the report showed or that this entry's picks cause to be loaded.
    pub(super) versions: Set<Name>,
    /// Start times of own requests that the last report does not count yet.
    pub(super) unreported: VecDeque<Time>,
    /// Own requests in flight.
    pub inflight: u32,
    /// The health and the circuit breaker.
    pub health: Health,
}

impl EndpointView {
    pub(super) fn new(object: Arc<Endpoint>, hash: u64, domain: u32, near: bool) -> Self {
        EndpointView {
            report: empty_report(&object),
            object,
            hash,
            domain,
            near,
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

    /// Returns whether the endpoint takes new work as far as this entry knows.
    pub fn is_open(&self) -> bool {
        let present = self.live && self.routable && !self.leaving;
        present && self.draining_since.is_none() && self.linked && self.report.ready
    }

    /// Returns the number of own requests that the last report does not count yet.
    pub fn unreported(&self) -> u32 {
        self.unreported.len() as u32
    }

    /// Returns whether `incarnation` is not the one known so far.
    fn is_replaced(&self, incarnation: Incarnation) -> bool {
        self.incarnation != Incarnation(0) && self.incarnation != incarnation
    }

    fn begin(&mut self, now: Time) {
        self.inflight += 1;
        if self.unreported.len() < MAX_UNSEEN {
            self.unreported.push_back(now);
        }
    }

    fn end(&mut self, start: Time) {
        self.inflight = self.inflight.saturating_sub(1);
        if let Ok(index) = self.unreported.binary_search(&start) {
            self.unreported.remove(index);
        }
    }
}

/// Returns what is assumed of an endpoint before its first report.
fn empty_report(object: &Endpoint) -> Report {
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
    /// Takes in a load report; an older one than the last of the same incarnation is ignored.
    ///
    /// Returns whether it was taken in.
    pub fn apply_report(&mut self, now: Time, report: &Report) -> bool {
        let Some(id) = self.find(&report.endpoint) else {
            return false;
        };
        let view = self.view_mut(id);
        let same = !view.is_replaced(report.incarnation);
        if same && view.last_report_at.is_some() && report.seq <= view.report.seq {
            return false;
        }
        if !same {
            view.draining_since = None;
            view.unreported.clear();
        }
        let recent = view
            .draining_since
            .is_some_and(|since| now < since.after(DRAIN_MEMORY));
        if report.draining {
            view.draining_since = Some(now);
        } else if !recent {
            view.draining_since = None;
        }
        view.incarnation = report.incarnation;
        view.last_report_at = Some(now);
        view.linked = true;
        while view
            .unreported
            .front()
            .is_some_and(|start| now >= start.after(REPORT_LAG))
        {
            view.unreported.pop_front();
        }
        view.report = Report {
            resident: Vec::new(),
            loading: Vec::new(),
            ..report.clone()
        };
        self.take_holdings(now, id, report, same);
        true
    }

    /// Brings the index of holders in line with a report.
    fn take_holdings(&mut self, now: Time, id: EndpointId, report: &Report, same: bool) {
        let load = self.cost_params.load_time(report.load_ms);
        let held = std::mem::take(&mut self.view_mut(id).versions);
        let mut kept = Set::default();
        for name in &report.resident {
            kept.insert(self.hold(name, id, None));
        }
        for name in &report.loading {
            let known = self
                .replicas(name)
                .iter()
                .find(|holding| holding.endpoint == id);
            let known = known.and_then(|holding| holding.ready_at);
            kept.insert(self.hold(name, id, Some(known.unwrap_or(now.after(load)))));
        }
        for name in held {
            if kept.contains(&name) {
                continue;
            }
            let expected = same && self.is_expected(now, &name, id);
            if expected {
                kept.insert(name);
            } else {
                self.release(&name, id);
            }
        }
        self.view_mut(id).versions = kept;
    }

    fn is_expected(&self, now: Time, name: &str, id: EndpointId) -> bool {
        self.replicas(name).iter().any(|holding| {
            let waits = holding
                .ready_at
                .is_some_and(|ready| now < ready.after(EXPECT_GRACE));
            holding.endpoint == id && !holding.confirmed && waits
        })
    }

    /// Notes that `id` holds a version, and returns the shared name of the version.
    fn hold(&mut self, name: &Name, id: EndpointId, ready: Option<Time>) -> Name {
        let holding = Replica {
            endpoint: id,
            ready_at: ready,
            confirmed: true,
        };
        let key = self.homes.shared_name(name);
        let list = self.replicas.entry(key.clone()).or_default();
        match list.iter_mut().find(|old| old.endpoint == id) {
            Some(old) => *old = holding,
            None => list.push(holding),
        }
        key
    }

    pub(super) fn release(&mut self, name: &Name, id: EndpointId) {
        let Some(list) = self.replicas.get_mut(name) else {
            return;
        };
        list.retain(|holding| holding.endpoint != id);
        if list.is_empty() {
            self.replicas.remove(name);
        }
    }

    /// Notes a load that this entry's own pick causes.
    pub(super) fn expect_load(&mut self, name: &Name, id: EndpointId, ready: Time) {
        let list = self.replicas.entry(name.clone()).or_default();
        if list.iter().any(|holding| holding.endpoint == id) {
            return;
        }
        list.push(Replica {
            endpoint: id,
            ready_at: Some(ready),
            confirmed: false,
        });
        self.view_mut(id).versions.insert(name.clone());
    }

    pub(super) fn begin(&mut self, now: Time, id: EndpointId) {
        self.view_mut(id).begin(now);
    }

    /// Notes how a picked request ended.
    pub fn finish(
        &mut self,
        now: Time,
        rng: &mut fastrand::Rng,
        pick: &Pick,
        end: EndpointOutcome,
    ) {
        let view = self.view_mut(pick.endpoint);
        view.end(pick.picked_at);
        match end {
            EndpointOutcome::Success(latency) => view.health.record_success(latency, pick.probe),
            EndpointOutcome::Failure => view.health.record_failure(now, rng, pick.probe),
            EndpointOutcome::WrongAdapter => view.health.record_wrong_adapter(now, rng),
            EndpointOutcome::Draining => view.draining_since = Some(now),
            EndpointOutcome::Neutral => {}
        }
        let inconclusive = matches!(end, EndpointOutcome::Draining | EndpointOutcome::Neutral);
        if pick.probe && inconclusive {
            view.health.abandon_probe(now);
        }
    }

    /// Notes that the link to an agent broke or came back, and under which incarnation.
    pub fn set_link(&mut self, name: &str, up: Option<Incarnation>) {
        let Some(id) = self.find(name) else {
            return;
        };
        let view = self.view_mut(id);
        view.linked = up.is_some();
        let Some(incarnation) = up else {
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
        view.report = empty_report(&view.object);
        let held = std::mem::take(&mut view.versions);
        for version in held {
            self.release(&version, id);
        }
    }
}

impl CostParams {
    /// Returns the expected time of one load, from a report's figure where there is one.
    pub(super) fn load_time(&self, reported: u32) -> Duration {
        let ms = if reported == 0 {
            self.load_ms
        } else {
            reported
        };
        Duration::from_millis(u64::from(ms))
    }
}

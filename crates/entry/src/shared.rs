//! State shared by the tasks of one entry.
//!
//! Lock order: `config_index`, then `routing`, then `accounting`, then `polls`. No lock is held
//! across an await.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use decision::collections::Map;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::limits::Denied;
use decision::limits::Limits;
use decision::member::Membership;
use decision::placement::CostParams;
use decision::placement::EndpointOutcome;
use decision::placement::EndpointTable;
use decision::placement::Pick;
use decision::placement::PickArgs;
use decision::placement::PickError;
use decision::problem::Code;
use decision::problem::Problem;
use decision::retry::RetryBudget;
use decision::route::RouteTable;
use decision::time::Time;
use objects::ObjectSet;
use objects::Priority;
use objects::Workspace;
use process::Adopter;
use process::Clock;
use process::Node;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::Links;
use wire::Peer;

use crate::committer::Committer;
use crate::metrics::Metrics;
use crate::polls::Polls;
use crate::records::RequestRecords;
use crate::settings::EntryLimits;
use crate::settings::ExternalServices;
use crate::settings::Settings;

/// Value of `Retry-After` when a workspace has too many requests in flight.
const INFLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after the process start during which the entry waits for a first report of every agent
/// before it reports ready.
const AGENT_CONTACT_TIMEOUT: Duration = Duration::from_secs(5);
/// Memory for request bodies that one semaphore permit stands for, in bytes.
pub(crate) const BODY_PERMIT_BYTES: usize = 1 << 10;

/// The active configuration, indexed for request handling.
#[derive(Debug, Default)]
pub(crate) struct ConfigIndex {
    pub(crate) routes: RouteTable,
    pub(crate) set: Arc<ObjectSet>,
    /// Workspaces that have an API key, by the digest of the key.
    pub(crate) workspaces_by_key: Map<Name, Arc<Workspace>>,
}

impl ConfigIndex {
    pub(crate) fn build(head: Head, set: Arc<ObjectSet>) -> ConfigIndex {
        let key_digest_and_workspace = |workspace: &Arc<Workspace>| {
            let secret = workspace.secret.clone()?;
            Some((secret, workspace.clone()))
        };
        ConfigIndex {
            routes: RouteTable::build(head, &set),
            workspaces_by_key: set
                .workspaces
                .values()
                .filter_map(key_digest_and_workspace)
                .collect(),
            set,
        }
    }
}

/// Endpoint state and the random number generator for picks and request identifiers.
pub(crate) struct Routing {
    pub(crate) endpoints: EndpointTable,
    pub(crate) rng: fastrand::Rng,
}

/// Admission limits, the retry budget and the records of recent requests.
pub(crate) struct Accounting {
    pub(crate) limits: Limits,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) records: RequestRecords,
}

/// State shared by the tasks of one entry.
pub(crate) struct Shared {
    pub(crate) region: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) adopter: Arc<Adopter>,
    pub(crate) members: watch::Receiver<Arc<Membership>>,
    pub(crate) external: ExternalServices,
    pub(crate) limits: EntryLimits,
    pub(crate) committer: Committer,
    pub(crate) metrics: Metrics,
    pub(crate) audit: audit::Log,
    /// Memory for request bodies; one permit is [`BODY_PERMIT_BYTES`].
    pub(crate) body_memory: Arc<Semaphore>,
    pub(crate) tasks: TaskTracker,
    /// Cancelled when the entry begins to stop.
    pub(crate) stopping: CancellationToken,
    config_index: RwLock<Arc<ConfigIndex>>,
    routing: Mutex<Routing>,
    accounting: Mutex<Accounting>,
    polls: Mutex<Polls>,
    /// Upper 64 bits of every request identifier of this process; random.
    id_prefix: u64,
}

impl Shared {
    pub(crate) fn new(
        settings: &Settings,
        external: ExternalServices,
        node: &Node,
        committer: Committer,
        metrics: Metrics,
    ) -> Shared {
        let region: Name = settings.region.as_str().into();
        let endpoints = EndpointTable::new(
            region.clone(),
            settings.domain.as_str().into(),
            CostParams::default(),
        );
        let accounting = Accounting {
            limits: Limits::new(settings.limits.inflight),
            retry_budget: RetryBudget::new(objects::Policy::default().retry_share),
            records: RequestRecords::default(),
        };
        Shared {
            region,
            incarnation: node.identity.incarnation,
            clock: node.clock,
            links: node.links.clone(),
            adopter: node.adopter.clone(),
            members: node.members.clone(),
            external,
            limits: settings.limits.clone(),
            committer,
            metrics,
            audit: audit::Log::new(audit::LogSettings::new(
                &settings.name,
                node.identity.incarnation,
            )),
            body_memory: Arc::new(Semaphore::new(
                settings.limits.bodies_bytes.div_ceil(BODY_PERMIT_BYTES),
            )),
            tasks: TaskTracker::new(),
            stopping: CancellationToken::new(),
            config_index: RwLock::default(),
            routing: Mutex::new(Routing {
                endpoints,
                rng: fastrand::Rng::with_seed(random_seed()),
            }),
            accounting: Mutex::new(accounting),
            polls: Mutex::default(),
            id_prefix: random_seed(),
        }
    }

    pub(crate) fn config_index(&self) -> Arc<ConfigIndex> {
        let config_index = self.config_index.read();
        config_index.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_config_index(&self, config_index: Arc<ConfigIndex>) {
        let current = self.config_index.write();
        *current.unwrap_or_else(PoisonError::into_inner) = config_index;
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn accounting(&self) -> MutexGuard<'_, Accounting> {
        self.accounting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn polls(&self) -> MutexGuard<'_, Polls> {
        self.polls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an error that says what the entry waits for, unless it is ready to serve.
    pub(crate) fn readiness(&self) -> Result<(), String> {
        if self.stopping.is_cancelled() {
            return Err("the entry is stopping".to_owned());
        }
        self.check_configured()?;
        self.check_agents_reported(self.clock.now())
    }

    /// Checks that every agent has reported, or that [`AGENT_CONTACT_TIMEOUT`] has passed. Before
    /// its first report an agent gets no non-repeatable request, because a claim must name the
    /// agent's incarnation.
    fn check_agents_reported(&self, now: Time) -> Result<(), String> {
        if now.since(Time(0)) >= AGENT_CONTACT_TIMEOUT {
            return Ok(());
        }
        if self.members.borrow().is_empty() {
            return Err("the entry has no membership list yet".to_owned());
        }
        if !self.routing().endpoints.has_all_reports() {
            return Err("the entry has not heard from all agents yet".to_owned());
        }
        Ok(())
    }

    /// Checks that a configuration is active. Unlike [`Shared::readiness`] it accepts a stopping
    /// entry, which still serves the requests that it receives.
    pub(crate) fn check_configured(&self) -> Result<(), String> {
        if !*self.adopter.ready().borrow() {
            return Err("the entry has no configuration yet".to_owned());
        }
        Ok(())
    }

    /// Returns a new request identifier. Its upper half is specific to this process.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let low = self.routing().rng.u64(..);
        RequestId((u128::from(self.id_prefix) << 64) | u128::from(low))
    }

    /// Returns a handle to the agent of an endpoint, if the membership list contains it.
    pub(crate) fn peer(&self, endpoint: &str) -> Option<Peer> {
        let addr = self.members.borrow().get(endpoint)?.peer;
        Some(self.links.peer(addr))
    }

    /// Picks an endpoint. The request counts as in flight there until the guard is dropped.
    pub(crate) fn pick(self: &Arc<Self>, args: &PickArgs<'_>) -> Result<PickGuard, PickError> {
        let now = self.clock.now();
        let mut routing = self.routing();
        let Routing { endpoints, rng } = &mut *routing;
        let pick = endpoints.pick(now, rng, args)?;
        drop(routing);
        self.polls().poll_soon(&pick.name, now);
        Ok(PickGuard {
            shared: self.clone(),
            pick,
            finished: false,
        })
    }

    /// Admits a request of a workspace. It counts as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Fails if a limit of the workspace or of the entry denies the request.
    pub(crate) fn admit(
        self: &Arc<Self>,
        workspace: &Arc<Workspace>,
        priority: Priority,
    ) -> Result<AdmissionGuard, Problem> {
        let admitted = self
            .accounting()
            .limits
            .admit(self.clock.now(), workspace, priority);
        admitted.map_err(|denied| denied_problem(&denied))?;
        Ok(AdmissionGuard {
            shared: self.clone(),
            workspace: workspace.name.clone(),
        })
    }
}

/// Returns a seed that differs between processes that start at the same time.
fn random_seed() -> u64 {
    // Each `RandomState` draws its keys from the operating system.
    std::hash::RandomState::new().hash_one(std::process::id())
}

fn denied_problem(denied: &Denied) -> Problem {
    let (code, after) = match denied {
        Denied::Rate(after) => (Code::RateLimited, *after),
        Denied::Inflight => (Code::TooManyInflight, INFLIGHT_RETRY_AFTER),
        Denied::Shed(after) => (Code::Overloaded, *after),
    };
    Problem::not_run(code, denied.to_string()).retry_after(after)
}

/// Counts a request as in flight at an endpoint until it is finished or dropped.
pub(crate) struct PickGuard {
    shared: Arc<Shared>,
    pub(crate) pick: Pick,
    finished: bool,
}

impl PickGuard {
    /// Records how the attempt ended. Dropping the guard records a neutral outcome.
    pub(crate) fn finish(mut self, outcome: EndpointOutcome) {
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: EndpointOutcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let Routing { endpoints, rng } = &mut *routing;
        endpoints.finish(now, rng, &self.pick, outcome);
    }
}

impl Drop for PickGuard {
    fn drop(&mut self) {
        self.record_outcome(EndpointOutcome::Neutral);
    }
}

/// Counts a request as in flight for its workspace until it is dropped.
pub(crate) struct AdmissionGuard {
    shared: Arc<Shared>,
    workspace: Name,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.shared.accounting().limits.release(&self.workspace);
    }
}

//! What the tasks of one entry share.
//!
//! Lock order: `directory`, then `routing`, then `book`, then `polls`. No lock is held across an
//! await.

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
use crate::records::Records;
use crate::settings::EntryLimits;
use crate::settings::ExternalServices;
use crate::settings::Settings;

/// The time after which a retry makes sense when a workspace has too much in flight.
const INFLIGHT_AFTER: Duration = Duration::from_secs(1);

/// The time after the start of the process from which an agent that was never heard from no longer
/// keeps the entry from being ready.
const CONTACT_LIMIT: Duration = Duration::from_secs(5);
/// The unit in which memory for bodies is counted, in bytes.
pub(crate) const BODY_UNIT: usize = 1 << 10;

/// The configuration in force, prepared for lookups.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    pub(crate) table: RouteTable,
    pub(crate) set: Arc<ObjectSet>,
    /// Workspaces by the digest of their API key.
    pub(crate) secrets: Map<Name, Arc<Workspace>>,
}

impl Directory {
    pub(crate) fn build(head: Head, set: Arc<ObjectSet>) -> Directory {
        let keyed = |workspace: &Arc<Workspace>| {
            let secret = workspace.secret.clone()?;
            Some((secret, workspace.clone()))
        };
        Directory {
            table: RouteTable::build(head, &set),
            secrets: set.workspaces.values().filter_map(keyed).collect(),
            set,
        }
    }
}

/// Endpoint views and the randomness of picks.
pub(crate) struct Routing {
    pub(crate) places: EndpointTable,
    pub(crate) rng: fastrand::Rng,
}

/// Limits, retries and the requests of this entry.
pub(crate) struct Book {
    pub(crate) limits: Limits,
    pub(crate) budget: RetryBudget,
    pub(crate) records: Records,
}

/// What the tasks of one entry share.
pub(crate) struct Shared {
    pub(crate) region: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) adopter: Arc<Adopter>,
    pub(crate) members: watch::Receiver<Arc<Membership>>,
    pub(crate) external: ExternalServices,
    pub(crate) settings: EntryLimits,
    pub(crate) committer: Committer,
    pub(crate) metrics: Metrics,
    pub(crate) audit: audit::Log,
    /// The memory for bodies, in units of [`BODY_UNIT`].
    pub(crate) bodies: Arc<Semaphore>,
    pub(crate) tasks: TaskTracker,
    /// Cancelled once the entry begins to stop.
    pub(crate) stopping: CancellationToken,
    directory: RwLock<Arc<Directory>>,
    routing: Mutex<Routing>,
    book: Mutex<Book>,
    polls: Mutex<Polls>,
    /// The upper half of all request identifiers of this process.
    high: u64,
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
        let places = EndpointTable::new(
            region.clone(),
            settings.domain.as_str().into(),
            CostParams::default(),
        );
        let book = Book {
            limits: Limits::new(settings.limits.inflight),
            budget: RetryBudget::new(objects::Policy::default().retry_share),
            records: Records::default(),
        };
        Shared {
            region,
            incarnation: node.identity.incarnation,
            clock: node.clock,
            links: node.links.clone(),
            adopter: node.adopter.clone(),
            members: node.members.clone(),
            external,
            settings: settings.limits.clone(),
            committer,
            metrics,
            audit: audit::Log::new(audit::Settings::new(
                &settings.name,
                node.identity.incarnation,
            )),
            bodies: Arc::new(Semaphore::new(
                settings.limits.bodies_bytes.div_ceil(BODY_UNIT),
            )),
            tasks: TaskTracker::new(),
            stopping: CancellationToken::new(),
            directory: RwLock::default(),
            routing: Mutex::new(Routing {
                places,
                rng: fastrand::Rng::with_seed(random_seed()),
            }),
            book: Mutex::new(book),
            polls: Mutex::default(),
            high: random_seed(),
        }
    }

    pub(crate) fn directory(&self) -> Arc<Directory> {
        let directory = self.directory.read();
        directory.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_directory(&self, directory: Arc<Directory>) {
        let held = self.directory.write();
        *held.unwrap_or_else(PoisonError::into_inner) = directory;
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn polls(&self) -> MutexGuard<'_, Polls> {
        self.polls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the entry can serve, or what it waits for.
    pub(crate) fn readiness(&self) -> Result<(), String> {
        if self.stopping.is_cancelled() {
            return Err("the entry is stopping".to_owned());
        }
        self.configured()?;
        self.contacted(self.clock.now())
    }

    /// Returns whether the agents have been heard from, or have had the time for it. Before its
    /// first report an agent gets no booking, as a claim has to name its incarnation.
    fn contacted(&self, now: Time) -> Result<(), String> {
        if now.since(Time(0)) >= CONTACT_LIMIT {
            return Ok(());
        }
        if self.members.borrow().is_empty() {
            return Err("the entry has no membership list yet".to_owned());
        }
        if !self.routing().places.has_all_reports() {
            return Err("the entry has not heard from all agents yet".to_owned());
        }
        Ok(())
    }

    /// Returns whether the configuration is known. A stopping entry still serves what reaches it.
    pub(crate) fn configured(&self) -> Result<(), String> {
        if !*self.adopter.ready().borrow() {
            return Err("the entry has no configuration yet".to_owned());
        }
        Ok(())
    }

    /// Returns a new identifier; processes differ in the upper half.
    pub(crate) fn draw_id(&self) -> RequestId {
        let low = self.routing().rng.u64(..);
        RequestId((u128::from(self.high) << 64) | u128::from(low))
    }

    /// Returns a handle to the agent beside an endpoint, if the membership list has it.
    pub(crate) fn peer(&self, endpoint: &str) -> Option<Peer> {
        let addr = self.members.borrow().get(endpoint)?.peer;
        Some(self.links.peer(addr))
    }

    /// Picks an endpoint; the request counts as in flight there until the result is dropped.
    pub(crate) fn pick(self: &Arc<Self>, want: &PickArgs<'_>) -> Result<Placed, PickError> {
        let now = self.clock.now();
        let mut routing = self.routing();
        let Routing { places, rng } = &mut *routing;
        let pick = places.pick(now, rng, want)?;
        drop(routing);
        self.polls().hasten(&pick.name, now);
        Ok(Placed {
            shared: self.clone(),
            pick,
            finished: false,
        })
    }

    /// Admits a request of a workspace; it counts as in flight until the result is dropped.
    pub(crate) fn admit(
        self: &Arc<Self>,
        workspace: &Arc<Workspace>,
        priority: Priority,
    ) -> Result<Admitted, Problem> {
        let denied = self
            .book()
            .limits
            .admit(self.clock.now(), workspace, priority);
        denied.map_err(|denied| denied_problem(&denied))?;
        Ok(Admitted {
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
        Denied::Inflight => (Code::TooManyInflight, INFLIGHT_AFTER),
        Denied::Shed(after) => (Code::Overloaded, *after),
    };
    Problem::not_run(code, denied.to_string()).retry_after(after)
}

/// A request counted as in flight at an endpoint.
pub(crate) struct Placed {
    shared: Arc<Shared>,
    pub(crate) pick: Pick,
    finished: bool,
}

impl Placed {
    /// Tells how the attempt ended.
    pub(crate) fn finish(mut self, end: EndpointOutcome) {
        self.tell(end);
    }

    fn tell(&mut self, end: EndpointOutcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let Routing { places, rng } = &mut *routing;
        places.finish(now, rng, &self.pick, end);
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.tell(EndpointOutcome::Neutral);
    }
}

/// A request counted as in flight for its workspace.
pub(crate) struct Admitted {
    shared: Arc<Shared>,
    workspace: Name,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.shared.book().limits.release(&self.workspace);
    }
}

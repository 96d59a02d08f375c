//! The messages between an entry and the agent of a runner, and their intervals and timeouts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::admission::Prompt;
use crate::crash_reports::BrokenAttempt;
use crate::demand::RateLevel;
use crate::load_profile::LoadProfile;
use crate::quarantine::Crash;
use crate::quota::Ask;
use crate::quota::Membership;
use crate::quota::TokenRequest;
use crate::request::PartId;
use crate::tenants::Quota;

/// Maximum interval between two updates of an agent; they also serve as heartbeats of the
/// connection.
pub const STATE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval between two updates to an entry that has not used the runner for
/// [`IN_USE_PERIOD`].
pub const IDLE_STATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which an entry counts as using a runner after its last usage report or adapter request.
pub const IN_USE_PERIOD: Duration = Duration::from_secs(2);
/// Time without a message after which a connection that is in use is closed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Time without a message after which an agent closes the connection of an entry that uses no
/// adapter.
pub const IDLE_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which an entry checks whether to send a usage report.
pub const USAGE_INTERVAL: Duration = Duration::from_millis(200);
/// The same interval while the runner has less room than [`SCARCE_ROOM`], so that an adapter whose
/// last request has ended can be unloaded sooner.
pub const SCARCE_USAGE_INTERVAL: Duration = Duration::from_millis(40);
/// Number of loadable adapters below which room at a runner counts as scarce.
pub const SCARCE_ROOM: u32 = 4;

/// The properties of a model that an agent needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The name by which the runner reports the model.
    #[serde(rename = "n")]
    pub name: Name,
    /// The size of its weights, in MB.
    #[serde(rename = "w")]
    pub weights_mb: f64,
    /// The size of one of its adapters, in MB.
    #[serde(rename = "a")]
    pub adapter_mb: f64,
}

/// The limits of a runner and the models of its service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// The memory for model weights and adapters, in MB.
    #[serde(rename = "w")]
    pub weights_mb: f64,
    /// The maximum number of adapters, including those that are loading.
    #[serde(rename = "s")]
    pub slots: u32,
    /// The models of the service.
    #[serde(rename = "m")]
    pub models: Vec<ModelSpec>,
}

/// How one entry uses one adapter of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Model and adapter as `MODEL/ADAPTER`.
    #[serde(rename = "a")]
    pub adapter: Name,
    /// The number of requests of this entry that currently run or wait at the runner.
    #[serde(rename = "i")]
    pub inflight: u32,
    /// The number of requests sent to the runner since the last usage report.
    #[serde(rename = "h")]
    pub hits: u32,
}

impl Usage {
    /// Returns the usage without its hits, for comparison with later usage.
    pub(crate) fn without_hits(&self) -> Usage {
        Usage {
            hits: 0,
            ..self.clone()
        }
    }
}

/// A message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// The first message of a connection: the runner that the membership list has at the agent's
    /// address, and its limits.
    #[serde(rename = "hello")]
    Hello {
        /// The identifier of the runner.
        runner: Name,
        /// When the runner started, in milliseconds since the Unix epoch.
        born: u64,
        /// The limits of the runner.
        capacity: Capacity,
        /// Whether the entry wants to hear of crashes.
        #[serde(default)]
        crashes: bool,
    },
    /// Requests that the runner load an adapter.
    #[serde(rename = "want")]
    Want {
        /// Model and adapter as `MODEL/ADAPTER`.
        adapter: Name,
        /// The minimum version; 0 for the newest one that the runner finds.
        version: u64,
        /// Whether a caller's request waits for it.
        urgent: bool,
    },
    /// The entry's complete current usage of the runner's adapters.
    #[serde(rename = "use")]
    Usage(Vec<Usage>),
    /// Asks for the admission of a prompt; sent only to an agent whose updates say that it admits
    /// prompts.
    #[serde(rename = "ask")]
    Admit(Prompt),
    /// The runner has read the prompt with this number, or its request has ended.
    #[serde(rename = "read")]
    PromptRead(u64),
    /// An attempt ended before its answer. This and the messages below are sent only to an agent
    /// whose updates say that it puts crashes together.
    #[serde(rename = "broken")]
    Broken(BrokenAttempt),
    /// The entry has served requests on parts that a crash lists.
    #[serde(rename = "vouch")]
    Vouch {
        /// The start of the runner that crashed, in milliseconds since the Unix epoch.
        born: u64,
        /// Those of the parts that the entry has served.
        parts: Vec<PartId>,
    },
    /// Requests have been answered on parts that were under suspicion.
    #[serde(rename = "served")]
    Served(Vec<PartId>),
    /// Asks for tokens of a tenant; sent only to an agent whose updates say that it keeps the buckets of
    /// tenants.
    #[serde(rename = "tokens")]
    Tokens(TokenAsk),
}

/// What an entry asks of the bucket of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenAsk {
    /// The tenant.
    pub tenant: Name,
    /// The number that the answer repeats.
    pub id: u64,
    /// The version of the configuration that the limit comes from.
    pub version: u64,
    /// The units per second that the tenant may use.
    pub rate: f64,
    /// The units that it may use at once.
    pub burst: f64,
    /// The tokens that are wanted; 0 only announces the limit.
    pub want: u64,
    /// The fewest of them that are of use.
    #[serde(default, skip_serializing_if = "no_tokens")]
    pub least: u64,
    /// The tokens spent on credit since the last ask.
    #[serde(default, skip_serializing_if = "no_tokens")]
    pub spent: u64,
    /// Whether the entry asked another agent for tokens of the tenant before.
    #[serde(default, skip_serializing_if = "is_false")]
    pub moved: bool,
    /// The part of the limit that the entry brings; not sent by an entry of the release before.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipAsk>,
}

/// The part of a limit that an entry brings to an agent, for a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipAsk {
    /// The number of the entry's process.
    #[serde(rename = "h")]
    pub holder: u64,
    /// The number of entries that share the limit; 0 if the ask is to change nothing.
    #[serde(rename = "n")]
    pub entries: u32,
    /// The stamp of the agent's last answer; 0 if there was none.
    #[serde(rename = "s", default, skip_serializing_if = "no_tokens")]
    pub stamp: u64,
    /// How long after that answer the agent may count the part, in milliseconds.
    #[serde(rename = "t")]
    pub term_ms: u64,
}

impl From<Membership> for MembershipAsk {
    fn from(membership: Membership) -> MembershipAsk {
        MembershipAsk {
            holder: membership.holder,
            entries: membership.entries,
            stamp: membership.stamp,
            term_ms: membership.term.as_millis() as u64,
        }
    }
}

impl From<MembershipAsk> for Membership {
    fn from(ask: MembershipAsk) -> Membership {
        Membership {
            holder: ask.holder,
            entries: ask.entries,
            stamp: ask.stamp,
            term: Duration::from_millis(ask.term_ms),
        }
    }
}

impl TokenAsk {
    /// Returns what is asked of the bucket.
    pub fn request(&self) -> TokenRequest {
        TokenRequest {
            version: self.version,
            quota: Quota {
                rate: self.rate,
                burst: self.burst,
            },
            want: self.want,
            least: self.least,
            spent: self.spent,
            moved: self.moved,
            membership: self.membership.map(Membership::from),
        }
    }
}

impl From<Ask> for TokenAsk {
    fn from(ask: Ask) -> TokenAsk {
        let request = ask.request;
        TokenAsk {
            tenant: ask.tenant,
            id: ask.id,
            version: request.version,
            rate: request.quota.rate,
            burst: request.quota.burst,
            want: request.want,
            least: request.least,
            spent: request.spent,
            moved: request.moved,
            membership: request.membership.map(MembershipAsk::from),
        }
    }
}

/// A message from an agent to an entry. Crashes and served parts are sent only to an entry that wants
/// to hear of crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum FromAgent {
    /// The agent's runner has crashed, or more is known of the crash.
    Crash {
        /// All that is known of it.
        crash: Crash,
    },
    /// Requests have been answered on parts that were under suspicion.
    Served {
        /// Those on which an entry of this agent has got an answer.
        served: Vec<PartId>,
    },
    /// The prompts with these numbers may be sent.
    Admitted {
        /// The numbers that the entry gave them.
        #[serde(rename = "ok")]
        prompts: Vec<u64>,
    },
    /// The answer to an ask for tokens.
    Tokens {
        /// The tenant.
        tenant: Name,
        /// The number of the ask.
        id: u64,
        /// The tokens granted, at most as many as were wanted.
        granted: u64,
        /// The time until the bucket has what was missing, in milliseconds; 0 if nothing was.
        wait_ms: u64,
        /// The stamp that the next ask names; 0 from an agent of the release before.
        #[serde(default, skip_serializing_if = "no_tokens")]
        stamp: u64,
    },
    /// A change of the runner's state.
    Update(Box<RunnerUpdate>),
}

/// The status of an adapter that a runner holds, loads or has queued for loading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterStatus {
    /// Model and adapter as `MODEL/ADAPTER`.
    #[serde(rename = "a")]
    pub adapter: Name,
    /// The version that is loaded or expected; 0 if the adapter is queued and the newest version is
    /// to be loaded.
    #[serde(rename = "v")]
    pub version: u64,
    /// The expected time until it is loaded, in milliseconds; 0 if it is loaded.
    #[serde(rename = "t", default)]
    pub wait_ms: u32,
    /// The recent rate of requests for it at this runner, from all entries.
    #[serde(rename = "l", default, skip_serializing_if = "RateLevel::is_low")]
    pub rate: RateLevel,
}

/// The state of a runner as seen by its agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerState {
    /// When the runner started, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Whether the runner answers its agent.
    pub up: bool,
    /// The models that the runner holds.
    pub models: Vec<Name>,
    /// Whether the runner is draining before its exit.
    pub draining: bool,
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests that wait.
    pub queued: u32,
    /// The number of adapters that can be loaded now, counting idle ones that can be evicted.
    pub room: u32,
    /// The number of entries connected to the agent.
    pub entries: u32,
    /// The recent rate of requests for all adapters, per second.
    pub rate: u32,
    /// The expected time for reading the prompts that wait for their admission, in milliseconds.
    pub backlog_ms: u32,
    /// The prefill throughput, in tokens per millisecond; 0 if unknown.
    pub prefill: u32,
    /// What the agent has learned from the runner's loads.
    pub loads: LoadProfile,
    /// Whether the agent keeps the buckets of tenants.
    pub quotas: bool,
    /// The adapters that are loaded, loading or queued, sorted by name.
    pub adapters: Vec<AdapterStatus>,
}

/// The changes in the state of a runner since the last update.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// When the runner started, in milliseconds since the Unix epoch.
    #[serde(rename = "b")]
    pub born: u64,
    /// Whether the runner answers its agent.
    #[serde(rename = "u")]
    pub up: bool,
    /// Whether the runner is draining before its exit.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub draining: bool,
    /// The number of requests that run.
    #[serde(rename = "r")]
    pub running: u32,
    /// The number of requests that wait.
    #[serde(rename = "q")]
    pub queued: u32,
    /// The number of adapters that can be loaded now, counting idle ones that can be evicted.
    #[serde(rename = "f")]
    pub room: u32,
    /// The number of entries connected to the agent.
    #[serde(rename = "e")]
    pub entries: u32,
    /// The recent rate of requests for all adapters, per second.
    #[serde(rename = "a", default)]
    pub rate: u32,
    /// The expected time for reading the prompts that wait for their admission, in milliseconds.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub backlog_ms: u32,
    /// The prefill throughput, in tokens per millisecond; 0 if unknown.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub prefill: u32,
    /// What the agent has learned from the runner's loads; `None` if it is unchanged.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub loads: Option<LoadProfile>,
    /// Whether `adapters` lists all adapters rather than only the changed ones.
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    pub full: bool,
    /// Whether the agent admits prompts; given with a full update.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub admits: bool,
    /// Whether the agent puts crashes together; given with a full update.
    #[serde(rename = "y", default, skip_serializing_if = "is_false")]
    pub crashes: bool,
    /// Whether the agent keeps the buckets of tenants.
    #[serde(rename = "z", default, skip_serializing_if = "is_false")]
    pub quotas: bool,
    /// The models that the runner holds; `None` if they are unchanged.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<Name>>,
    /// The adapters that are new, have another version, or started or finished loading.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterStatus>,
    /// The adapters that were removed.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<Name>,
}

// `skip_serializing_if` requires a function that takes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !flag
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn no_tokens(tokens: &u64) -> bool {
    *tokens == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl RunnerState {
    /// Returns the update for an entry whose last known state is `known`; a full one if `known` is
    /// `None` or belongs to another incarnation.
    pub fn update_since(&self, known: Option<&RunnerState>) -> RunnerUpdate {
        let known = known.filter(|known| known.born == self.born);
        let changed = self.adapters.iter().filter(|status| {
            let before = known.and_then(|known| known.adapter(&status.adapter));
            before.is_none_or(|before| before.differs(status) || before.rate != status.rate)
        });
        let removed = known.map(|known| {
            let known_adapters = known.adapters.iter();
            known_adapters.filter(|status| self.adapter(&status.adapter).is_none())
        });
        let models = known.is_none_or(|known| known.models != self.models);
        let loads = known.is_none_or(|known| known.loads != self.loads);
        RunnerUpdate {
            born: self.born,
            up: self.up,
            draining: self.draining,
            running: self.running,
            queued: self.queued,
            room: self.room,
            entries: self.entries,
            rate: self.rate,
            backlog_ms: self.backlog_ms,
            prefill: self.prefill,
            loads: loads.then_some(self.loads),
            full: known.is_none(),
            admits: known.is_none(),
            crashes: known.is_none(),
            quotas: self.quotas,
            models: models.then(|| self.models.clone()),
            adapters: changed.cloned().collect(),
            removed: removed.map_or(Vec::new(), |removed| {
                removed.map(|status| status.adapter.clone()).collect()
            }),
        }
    }

    /// Returns the state after the end of the runner's process, which holds nothing any more.
    #[must_use]
    pub fn into_ended(self) -> RunnerState {
        RunnerState {
            up: false,
            models: Vec::new(),
            room: 0,
            adapters: Vec::new(),
            ..self
        }
    }

    /// Returns whether an entry that knows `known` must get an update immediately: requests may
    /// wait for an adapter that was loaded, requests for an unloaded adapter would be rejected, no
    /// request may be sent to a draining runner, and all entries turn to a new bucket together.
    pub fn is_urgent_after(&self, known: &RunnerState) -> bool {
        let same_availability =
            (self.born, self.up, self.draining) == (known.born, known.up, known.draining);
        let loaded = self.adapters.iter().any(|status| {
            let before = known.adapter(&status.adapter);
            status.wait_ms == 0 && before.is_none_or(|before| before.differs(status))
        });
        let mut known_adapters = known.adapters.iter();
        let unloaded = known_adapters
            .any(|status| status.wait_ms == 0 && self.adapter(&status.adapter).is_none());
        let starts_buckets = self.quotas && !known.quotas;
        !same_availability || loaded || unloaded || starts_buckets || self.models != known.models
    }

    /// Returns the status of an adapter; relies on the order of `adapters`.
    fn adapter(&self, adapter: &str) -> Option<&AdapterStatus> {
        let found = self
            .adapters
            .binary_search_by(|status| (*status.adapter).cmp(adapter));
        found.ok().map(|index| &self.adapters[index])
    }
}

impl AdapterStatus {
    /// Returns whether the versions differ, or only one of the two is loaded. A different expected
    /// time or rate alone does not count.
    fn differs(&self, other: &AdapterStatus) -> bool {
        self.version != other.version || (self.wait_ms == 0) != (other.wait_ms == 0)
    }
}

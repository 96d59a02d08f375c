//! The limits of tenants over all entries together.
//!
//! For each tenant an agent keeps a token bucket ([`SharedBucket`]) and grants tokens to the entries that ask for
//! them; an entry spends what it was granted ([`Account`]). Each entry brings an equal part of the limit to the one
//! agent that it asks, for a term.
//!
//! Invariants: a part of the limit is at one agent at most; entries spend no more than was granted, but for a bounded credit that the bucket subtracts
//! later; an entry without an agent spends only its own part of the limit; granted tokens
//! expire, so that little is held where nobody needs it; a decision sends no call to the store.

mod account;
mod accounts;
mod agents;
mod bucket;
mod holdings;
mod place;
mod shared_bucket;
mod shares;
mod use_estimate;

use std::time::Duration;

use decision::time::Time;

pub use account::Account;
pub use account::Charge;
pub use account::Refusal;
pub use accounts::Accounts;
pub use accounts::Ask;
pub use accounts::Changes;
pub use accounts::Decision;
pub use accounts::Settlement;
pub use agents::Agents;
pub use bucket::Bucket;
pub use shared_bucket::BucketReport;
pub use shared_bucket::Buckets;
pub use shared_bucket::SharedBucket;
pub use shares::Shares;

use crate::tenants::Quota;

/// How long granted tokens may be spent, counted from the ask for them.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// How long an ask waits for its answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The term of an entry that uses tokens of a tenant. It ends before callers notice that an agent does not answer, and
/// outlasts a packet that is sent again.
pub const BUSY_TERM: Duration = Duration::from_millis(700);
/// The longest term.
pub const MAX_TERM: Duration = Duration::from_secs(61);

/// The time from the start of an agent until it keeps buckets. All entries have linked to it by then, so that they
/// turn to it together; until then the agents before it grant tokens.
pub const AGENT_WARM_UP: Duration = Duration::from_secs(4);

/// Returns whether an agent that started at time 0 keeps buckets.
pub fn keeps_buckets(now: Time) -> bool {
    now >= Time::default().after(AGENT_WARM_UP)
}

/// What an entry asks of the bucket of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenRequest {
    /// The version of the configuration that the limit comes from.
    pub version: u64,
    /// The limit of the tenant.
    pub quota: Quota,
    /// The tokens that are wanted.
    pub want: u64,
    /// The fewest of them that are of use; less is not granted.
    pub least: u64,
    /// The tokens spent on credit since the last request.
    pub spent: u64,
    /// Whether the entry asked another agent for tokens of the tenant before.
    pub moved: bool,
    /// The part of the limit that the entry brings; `None` from an entry of the release before.
    pub membership: Option<Membership>,
}

/// The part of a limit that an entry brings to an agent, for a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The number of the entry's process, unique among all.
    pub holder: u64,
    /// The number of entries that share the limit; 0 if the ask is to change nothing.
    pub entries: u32,
    /// [`Grant::stamp`] of the agent's last answer about the tenant; 0 if there was none.
    pub stamp: u64,
    /// How long after that answer the agent may count the part; zero takes it away at once.
    pub term: Duration,
}

/// The answer to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The tokens granted, at most as many as were wanted.
    pub granted: u64,
    /// The time until the bucket has what was missing; zero if nothing was.
    pub wait: Duration,
    /// When the agent answered, by its own clock; 0 from an agent that counts no parts.
    pub stamp: u64,
}

//! The tenants of a run, their keys and their limit.
//!
//! Routes whose requests must not run more than once need a key; the others are public. Each tenant has a key
//! that all versions of the manifest have, and the open one another with each version, which the next version
//! has too and the one after it drops.

use derive_more::Display;
use rig::deploy::TenantParams;
use rig::deploy::tenant_manifest;

use crate::harness::SLOTS;
use crate::history::Ms;
use crate::history::RouteKind;

/// How much the limited tenant may use per second, in tokens.
pub const RATE: f64 = 100.0;
/// How much it may use at once beyond the rate, in tokens.
pub const BURST: f64 = 200.0;
/// What a request without a token count costs.
pub const PLAIN_TOKENS: u64 = 100;
/// The share of requests to public routes that show no key, in percent.
const KEYLESS_PERCENT: u32 = 70;
/// By how many versions the version of a key that changes may be older than the newest manifest.
const OLDER_VERSIONS: std::ops::Range<u64> = 1..4;
/// The tenant that callers claim to be, which no manifest has.
pub(crate) const CLAIMED_TENANT: &str = "claimed";
/// The routes that need a key.
const KEYED_ROUTES: [RouteKind; 2] = [RouteKind::NonIdempotent, RouteKind::NonResumableStream];

/// A tenant; its text is the name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Tenant {
    /// It has no limit.
    #[display("open")]
    Open,
    /// It has [`RATE`] and [`BURST`].
    #[display("limited")]
    Limited,
}

/// A key that a caller shows; its text is the header value.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ApiKey {
    /// No manifest has it.
    #[display("key-unknown")]
    Unknown,
    /// All manifests have it.
    #[display("key-{_0}")]
    Permanent(Tenant),
    /// The manifest of this version and the next one have it, for the open tenant.
    #[display("key-v{_0}")]
    Versioned(u64),
}

impl ApiKey {
    /// Returns the tenant to which a key belongs; `None` if it belongs to none.
    pub fn tenant(self) -> Option<Tenant> {
        match self {
            ApiKey::Unknown => None,
            ApiKey::Permanent(tenant) => Some(tenant),
            ApiKey::Versioned(_) => Some(Tenant::Open),
        }
    }

    /// Draws the key of a request to a route; `newest` is the version of the newest manifest. The limited tenant
    /// has the most requests, so that its limit binds.
    pub(crate) fn pick(rng: &mut fastrand::Rng, kind: RouteKind, newest: u64) -> Option<ApiKey> {
        let (shown, key) = (rng.u32(..100), rng.u32(..100));
        if !kind.needs_key() && shown < KEYLESS_PERCENT {
            return None;
        }
        match key {
            0..40 => Some(ApiKey::Permanent(Tenant::Limited)),
            40..70 => Some(ApiKey::Permanent(Tenant::Open)),
            70..80 => Some(ApiKey::Versioned(newest)),
            80..94 => {
                let version = newest.saturating_sub(rng.u64(OLDER_VERSIONS));
                Some(ApiKey::Versioned(version.max(1)))
            }
            94..97 => Some(ApiKey::Unknown),
            _ => None,
        }
    }
}

impl RouteKind {
    /// Returns whether the route is for callers with a key only.
    pub fn needs_key(self) -> bool {
        KEYED_ROUTES.contains(&self)
    }
}

/// Returns a version of the manifest with the tenants and their keys.
pub(crate) fn manifest(version: u64, idle_ms: Ms) -> String {
    let open_keys = [
        ApiKey::Permanent(Tenant::Open),
        ApiKey::Versioned(version),
        ApiKey::Versioned(version.saturating_sub(1)),
    ];
    let tenants = [
        TenantParams {
            name: Tenant::Open.to_string(),
            api_keys: open_keys.iter().map(ApiKey::to_string).collect(),
            rate: 0.0,
            burst: 0.0,
            plain_tokens: PLAIN_TOKENS,
        },
        TenantParams {
            name: Tenant::Limited.to_string(),
            api_keys: vec![ApiKey::Permanent(Tenant::Limited).to_string()],
            rate: RATE,
            burst: BURST,
            plain_tokens: PLAIN_TOKENS,
        },
    ];
    let keyed = KEYED_ROUTES.map(|kind| kind.to_string());
    tenant_manifest(version, SLOTS, idle_ms, &tenants, &keyed)
}

//! The tenants of a configuration: who a request belongs to, and what its tenant may use.
//!
//! Invariants: each key belongs to one tenant; keys appear in no `Debug` output and no error.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use derive_more::Display;
use derive_more::Error;

use crate::Name;
use crate::request::Request;

/// The longest key and the longest name of a tenant, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// The levels of priority that routes may have within one of their tenants; further ones count as the last.
const ROUTE_LEVELS: u8 = 3;
/// The least urgent priority.
const LAST_PRIORITY: u8 = 9;

/// What a limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts the tokens of its prompt and the most tokens of its answer.
    Tokens,
}

/// How much a tenant may use over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second; greater than 0.
    pub rate: f64,
    /// Units that may be used at once, beyond the rate.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name by which runners and logs know it.
    pub name: Name,
    /// Its priority, which goes before that of a route; 0 is the most urgent, `None` leaves it to the route.
    pub priority: Option<u8>,
    /// Its limit; `None` if it has none.
    pub quota: Option<Quota>,
    /// What the limit counts.
    pub unit: QuotaUnit,
    /// The tokens that a request counts if it does not say how many it has.
    pub plain_tokens: u64,
}

/// A tenant with its keys, as the configuration declares it.
#[derive(Clone)]
pub struct TenantSpec {
    /// The tenant.
    pub tenant: Tenant,
    /// The keys by which its requests are known.
    pub keys: Vec<String>,
}

/// Why tenants cannot take effect.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TenantError {
    /// A name is empty or too long.
    #[display("tenant {_0} has an empty name, or one of over {MAX_TEXT_BYTES} bytes")]
    InvalidName(#[error(not(source))] usize),
    /// Two tenants have one name.
    #[display("two tenants have the name `{_0}`")]
    DuplicateName(#[error(not(source))] Name),
    /// A key is empty, too long, or not visible ASCII.
    #[display(
        "key {index} of tenant `{tenant}` is empty, over {MAX_TEXT_BYTES} bytes, or not visible ASCII"
    )]
    InvalidKey {
        /// The tenant's name.
        tenant: Name,
        /// The position of the key in the tenant's list.
        index: usize,
    },
    /// Two tenants have one key, or one has it twice.
    #[display("tenants `{first}` and `{second}` have one key")]
    DuplicateKey {
        /// The tenant that is declared first.
        first: Name,
        /// The other one.
        second: Name,
    },
    /// A rate or a burst is negative or no finite number.
    #[display("the limit of tenant `{_0}` is negative or no number")]
    InvalidQuota(#[error(not(source))] Name),
}

/// The tenants of a configuration by their keys.
#[derive(Clone, PartialEq)]
pub struct Tenants {
    by_key: Map<Box<str>, Arc<Tenant>>,
    all: Vec<Arc<Tenant>>,
}

impl Tenants {
    /// Checks tenants and indexes them by their keys.
    ///
    /// # Errors
    ///
    /// Fails with the first tenant that contradicts another one, or whose name, key or limit is malformed.
    pub fn new(specs: Vec<TenantSpec>) -> Result<Tenants, TenantError> {
        let mut tenants = Tenants {
            by_key: Map::default(),
            all: Vec::with_capacity(specs.len()),
        };
        let mut names = Map::default();
        for (position, spec) in specs.into_iter().enumerate() {
            check_tenant(position, &spec.tenant)?;
            let tenant = Arc::new(spec.tenant);
            if names.insert(tenant.name.clone(), position).is_some() {
                return Err(TenantError::DuplicateName(tenant.name.clone()));
            }
            for (index, key) in spec.keys.into_iter().enumerate() {
                tenants.add_key(&tenant, index, key)?;
            }
            tenants.all.push(tenant);
        }
        Ok(tenants)
    }

    fn add_key(
        &mut self,
        tenant: &Arc<Tenant>,
        index: usize,
        key: String,
    ) -> Result<(), TenantError> {
        if !is_usable(&key) || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(TenantError::InvalidKey {
                tenant: tenant.name.clone(),
                index,
            });
        }
        match self.by_key.insert(key.into(), tenant.clone()) {
            None => Ok(()),
            Some(first) => Err(TenantError::DuplicateKey {
                first: first.name.clone(),
                second: tenant.name.clone(),
            }),
        }
    }

    /// Returns the tenant that has this key.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns all tenants, in the order of the configuration.
    pub fn all(&self) -> &[Arc<Tenant>] {
        &self.all
    }
}

impl fmt::Debug for Tenants {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tenants")
            .field("all", &self.all)
            .finish_non_exhaustive()
    }
}

impl Tenant {
    /// Returns how much a request counts towards the limit.
    pub fn cost(&self, request: &Request) -> u64 {
        match (self.unit, request.tokens_known) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens, false) => self.plain_tokens,
            (QuotaUnit::Tokens, true) => {
                u64::from(request.prompt_tokens) + u64::from(request.answer_tokens)
            }
        }
    }
}

/// Returns the priority of a tenant's request on a route of this priority: the tenant's decides, and that of
/// the route among the requests of equal tenants.
pub fn priority(tenant: Option<&Tenant>, route: u8) -> u8 {
    match tenant.and_then(|tenant| tenant.priority) {
        None => route,
        Some(own) => {
            let within = route.min(ROUTE_LEVELS - 1);
            own.saturating_mul(ROUTE_LEVELS)
                .saturating_add(within)
                .min(LAST_PRIORITY)
        }
    }
}

/// Returns whether the keys that were last read at a time may be trusted, if a key that is taken away must no
/// longer be served after `bound`. The store holds a read of changes for a part of it.
pub fn are_keys_current(now: Time, read_at: Option<Time>, bound: Duration) -> bool {
    read_at.is_some_and(|read_at| now.since(read_at) < bound)
}

fn check_tenant(position: usize, tenant: &Tenant) -> Result<(), TenantError> {
    if !is_usable(&tenant.name) || tenant.name.chars().any(char::is_control) {
        return Err(TenantError::InvalidName(position));
    }
    let is_number = |value: f64| value.is_finite() && value >= 0.0;
    let is_valid = |quota: Quota| is_number(quota.rate) && is_number(quota.burst);
    if tenant.quota.is_some_and(|quota| !is_valid(quota)) {
        return Err(TenantError::InvalidQuota(tenant.name.clone()));
    }
    Ok(())
}

fn is_usable(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

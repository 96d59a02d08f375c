//! The buckets of tenants that this agent keeps.
//!
//! Invariant: an entry is taken to have closed its links when the last one has ended over which it asked.

use decision::time::Time;
use serving::link::FromAgent;
use serving::link::TokenAsk;
use serving::load_scheduler::LinkId;
use spdlog::info;

use super::AgentState;
use crate::recover::lock;

impl AgentState {
    /// Answers an entry that asks for tokens of a tenant.
    pub(super) fn grant_tokens(&self, now: Time, link: LinkId, ask: &TokenAsk) -> FromAgent {
        if let Some(membership) = &ask.membership {
            lock(&self.holders).insert(link, membership.holder);
        }
        let grant = lock(&self.buckets).ask(now, &ask.tenant, &ask.request());
        self.metrics.quota_grants.inc_by(grant.granted);
        FromAgent::Tokens {
            tenant: ask.tenant.clone(),
            id: ask.id,
            granted: grant.granted,
            wait_ms: grant.wait.as_millis() as u64,
            stamp: grant.stamp,
        }
    }

    /// Records that a connection of an entry has ended.
    pub(super) fn end_holder(&self, link: LinkId) {
        let mut holders = lock(&self.holders);
        let Some(holder) = holders.remove(&link) else {
            return;
        };
        let is_linked = holders.values().any(|other| *other == holder);
        drop(holders);
        if !is_linked {
            lock(&self.buckets).close(self.now(), holder);
        }
    }

    /// Drops the buckets that no entry asks for, and logs what the others have granted.
    pub(super) fn expire_buckets(&self) {
        let now = self.now();
        let mut buckets = lock(&self.buckets);
        buckets.expire(now);
        self.metrics.quota_buckets.set(buckets.len() as i64);
        let reports = buckets.take_reports(now);
        drop(buckets);
        for report in reports {
            let Some(omitted) = lock(&self.bucket_lines).admit(now) else {
                continue;
            };
            info!("tokens granted", kv: {
                tenant = &*report.tenant, granted = report.granted, asks = report.asks,
                level = report.level as i64, part = report.part, members = report.members, omitted
            });
        }
    }
}

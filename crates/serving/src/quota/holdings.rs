//! The granted tokens that an entry holds of one tenant.
//!
//! Invariant: the earliest to expire are spent first, and expired ones never.

use std::collections::VecDeque;

use decision::time::Time;

/// Tokens that expire at one time.
#[derive(Clone, Copy, Debug)]
struct Lot {
    tokens: u64,
    expires_at: Time,
}

/// Granted tokens.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    /// Earliest expiry first.
    lots: VecDeque<Lot>,
    total: u64,
}

impl Holdings {
    /// Returns the sum of the tokens, as of the last [`Holdings::expire`].
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// Adds tokens, unless they have expired.
    pub(super) fn add(&mut self, now: Time, tokens: u64, expires_at: Time) {
        if tokens == 0 || expires_at <= now {
            return;
        }
        let index = self
            .lots
            .partition_point(|lot| lot.expires_at <= expires_at);
        self.lots.insert(index, Lot { tokens, expires_at });
        self.total += tokens;
    }

    /// Takes tokens, at most as many as there are; returns the earliest expiry of those taken.
    pub(super) fn take(&mut self, tokens: u64) -> Option<Time> {
        let mut left = tokens.min(self.total);
        self.total -= left;
        let expires_at = self.lots.front().map(|lot| lot.expires_at);
        let expires_at = expires_at.filter(|_| left > 0);
        while left > 0
            && let Some(lot) = self.lots.front_mut()
        {
            let taken = lot.tokens.min(left);
            lot.tokens -= taken;
            left -= taken;
            if lot.tokens == 0 {
                self.lots.pop_front();
            }
        }
        expires_at
    }

    /// Drops the tokens that have expired.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some(lot) = self.lots.front()
            && lot.expires_at <= now
        {
            self.total -= lot.tokens;
            self.lots.pop_front();
        }
    }
}

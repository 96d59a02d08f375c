//! One entry's part of the rate of requests that a runner takes from all entries together.
//!
//! An entry sends one request in a slot, and its slots are as far apart as its part of the rate asks
//! for. The first one opens after a random time, so that the slots of many entries spread.
//!
//! Invariant: a slot that is not used within a few seconds lapses, so that idle entries cannot all send
//! at once later.

use std::time::Duration;

use decision::time::Time;

/// How long a rate limit binds that no answer has repeated, at least. An entry whose slots are further
/// apart keeps it for two of them.
pub const LIMIT_PERIOD: Duration = Duration::from_secs(10 * 60);
/// The bounds of the time for which a slot stays open, and the step in which a shorter one is looked for.
const MIN_SLOT_PERIOD: Duration = Duration::from_secs(1);
const MAX_SLOT_PERIOD: Duration = Duration::from_secs(4);
const SLOT_PERIOD_STEP: Duration = Duration::from_millis(500);
/// The share of a limit that a longer period may leave, as a part of that of the shortest. Entries with
/// little work find a slot open more often, and those with much work have fewer.
const MIN_RELATIVE_SHARE: f64 = 0.9;
/// The longest distance between two slots, for limits near 0.
const MAX_INTERVAL: Duration = Duration::from_secs(30 * 60);

/// The window in which the platform counts the requests at a limited runner, in seconds.
const WINDOW_S: f64 = 4.0;
/// The requests in a window that are in order, as a multiple of what the limit allows, and beyond it.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// The largest share of a limit that entries use.
const MAX_SHARE: f64 = 1.0;
/// The growth of the distance between slots from which those that are reserved become void.
const MAX_STRETCH: f64 = 1.25;
/// The number of halvings in the search for a smaller share.
const SHARE_SEARCH_STEPS: u32 = 7;
/// The natural logarithm of the probability, for one window, that slots which fall together by chance
/// are more than allowed.
const LN_EXCESS_PROBABILITY: f64 = -13.8;

/// A rate limit that a runner names, and this entry's slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
    /// Requests per second, from all entries together.
    pub(super) rate: f64,
    /// When an answer last named it.
    pub(super) named_at: Time,
    /// When it ends if no answer names it again.
    pub(super) expires_at: Time,
    /// The number of entries that share it.
    entries: u32,
    pace: Pace,
    /// When the next slot opens or has opened.
    next_slot: Time,
    /// Tells the present slots from those of a higher limit.
    generation: u64,
}

/// How the slots of one entry lie.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// The distance between two slots.
    interval: Duration,
    /// How long a slot stays open.
    period: Duration,
}

/// The right to send one request to a limited runner, from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SlotTime {
    /// When the slot opens or has opened.
    pub(super) opens_at: Time,
    /// Another one than that of the limit makes it void.
    generation: u64,
}

impl RateLimit {
    /// Creates the state of a limit that this entry did not know.
    pub(super) fn new(now: Time, rng: &mut fastrand::Rng, rate: f64, entries: u32) -> RateLimit {
        let pace = Pace::new(rate, entries);
        RateLimit {
            rate,
            named_at: now,
            expires_at: expiry(now, pace),
            entries,
            pace,
            next_slot: now.after(pace.interval.mul_f64(rng.f64())),
            generation: rng.u64(..),
        }
    }

    /// Records that an answer names a limit again, perhaps another one.
    pub(super) fn renew(&mut self, now: Time, rate: f64) {
        self.named_at = now;
        self.set_share(now, rate, self.entries);
        self.expires_at = expiry(now, self.pace);
    }

    /// Divides the limit among another number of entries.
    pub(super) fn set_entries(&mut self, now: Time, entries: u32) {
        self.set_share(now, self.rate, entries);
    }

    /// Returns when the first slot that has not lapsed opens or has opened.
    pub(super) fn slot(&self, now: Time) -> Time {
        let lapsed = now.since(self.next_slot.after(self.pace.period));
        let missed = lapsed
            .as_micros()
            .div_ceil(self.pace.interval.as_micros().max(1));
        let missed = missed.try_into().unwrap_or(u32::MAX);
        self.next_slot
            .after(self.pace.interval.saturating_mul(missed))
    }

    /// Reserves the first slot that no request has, which may open later.
    pub(super) fn reserve(&mut self, now: Time) -> SlotTime {
        let opens_at = self.slot(now);
        self.next_slot = opens_at.after(self.pace.interval);
        SlotTime {
            opens_at,
            generation: self.generation,
        }
    }

    /// Gives back a slot that no request has used. Only the one that was reserved last can be given to
    /// another request.
    pub(super) fn release(&mut self, slot: SlotTime) {
        if self.is_valid(slot) && self.next_slot == slot.opens_at.after(self.pace.interval) {
            self.next_slot = slot.opens_at;
        }
    }

    /// Returns whether a reserved slot is still to be used, or to be waited for.
    pub(super) fn has_time_left(&self, now: Time, slot: SlotTime) -> bool {
        self.is_valid(slot) && now < slot.opens_at.after(self.pace.period)
    }

    fn is_valid(&self, slot: SlotTime) -> bool {
        slot.generation == self.generation
    }

    fn set_share(&mut self, now: Time, rate: f64, entries: u32) {
        if self.rate.to_bits() == rate.to_bits() && self.entries == entries {
            return;
        }
        // A slot that has lapsed must not open again.
        let next = self.slot(now);
        let before = self.pace.interval;
        self.rate = rate;
        self.entries = entries;
        self.pace = Pace::new(rate, entries);
        if self.pace.interval > before.mul_f64(MAX_STRETCH) {
            self.generation = self.generation.wrapping_add(1);
        }
        // The time to the next slot keeps its share of the interval, so that slots stay spread.
        let wait = next.since(now);
        let scale = self.pace.interval.as_secs_f64() / before.as_secs_f64();
        self.next_slot = now.after(wait.mul_f64(scale));
    }
}

impl Pace {
    /// Returns the pace at which all entries together keep to a limit of `rate` requests per second.
    fn new(rate: f64, entries: u32) -> Pace {
        let least = MIN_RELATIVE_SHARE * share(rate, entries, MIN_SLOT_PERIOD);
        let mut period = MAX_SLOT_PERIOD;
        while period > MIN_SLOT_PERIOD && share(rate, entries, period) < least {
            period -= SLOT_PERIOD_STEP;
        }
        Pace::at(rate * share(rate, entries, period), entries, period)
    }

    /// Returns the pace at which the entries together send `used` requests per second; no slot is open
    /// for much longer than until the next one, nor than `longest`.
    fn at(used: f64, entries: u32, longest: Duration) -> Pace {
        let interval = Duration::try_from_secs_f64(f64::from(entries) / used);
        let interval = interval.map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL));
        Pace {
            interval,
            period: interval.clamp(MIN_SLOT_PERIOD, longest),
        }
    }
}

fn expiry(now: Time, pace: Pace) -> Time {
    now.after(LIMIT_PERIOD.max(pace.interval * 2))
}

/// Returns the largest share of a limit whose slots are rarely more than allowed in a window, if slots are
/// open for `longest` at most.
fn share(rate: f64, entries: u32, longest: Duration) -> f64 {
    let is_rare = |share| ln_excess(rate, rate * share, entries, longest) <= LN_EXCESS_PROBABILITY;
    if is_rare(MAX_SHARE) {
        return MAX_SHARE;
    }
    let (mut least, mut most) = (0.0, MAX_SHARE);
    for _ in 0..SHARE_SEARCH_STEPS {
        let middle = (least + most) / 2.0;
        if is_rare(middle) {
            least = middle;
        } else {
            most = middle;
        }
    }
    least
}

/// Returns an upper bound of the logarithm of the probability that more requests than `limit` allows
/// fall into a window, if the entries together use the rate `used`: each entry has a fixed number of
/// slots that are open in it, and with some probability one more (Chernoff's bound of a binomial
/// distribution).
fn ln_excess(limit: f64, used: f64, entries: u32, longest: Duration) -> f64 {
    let count = f64::from(entries);
    let pace = Pace::at(used, entries, longest);
    let slots = (WINDOW_S + pace.period.as_secs_f64()) / pace.interval.as_secs_f64();
    let (fixed, probability) = (slots.floor(), slots.fract());
    let excess = ALLOWED_FACTOR * WINDOW_S * limit + ALLOWED_EXTRA + 1.0 - fixed * count;
    let excess_share = excess / count;
    if excess_share >= 1.0 {
        return f64::NEG_INFINITY;
    }
    if excess_share <= probability {
        return 0.0;
    }
    let rest = 1.0 - excess_share;
    let divergence =
        excess_share * (excess_share / probability).ln() + rest * (rest / (1.0 - probability)).ln();
    -count * divergence
}

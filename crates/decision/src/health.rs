//! The health of one endpoint as observed by this process, and its circuit breaker.

use std::time::Duration;

use derive_more::Display;

use crate::time::Time;

/// Weight of one outcome in the exponential moving averages.
const EWMA_ALPHA: f32 = 0.2;
/// Number of most recent outcomes over which the share of failures is computed.
const WINDOW_OUTCOMES: u32 = 20;
/// Number of outcomes below which the share of failures does not open the breaker.
const MIN_OUTCOMES: u32 = 10;
/// Number of consecutive failures that opens the breaker.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// First open period, before jitter.
const MIN_OPEN_PERIOD: Duration = Duration::from_secs(5);
/// Longest open period, before jitter.
const MAX_OPEN_PERIOD: Duration = Duration::from_secs(60);
/// Maximum jitter, as a share of the open period; it only extends the period.
const MAX_JITTER_SHARE: f64 = 0.2;
/// Time after which a probe without a result is abandoned, so that a lost probe does not keep the
/// breaker open forever.
const PROBE_TIMEOUT: Duration = Duration::from_secs(60);

/// The failure threshold and the open periods of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// First open period, before jitter; it doubles each time the breaker reopens without having
    /// closed.
    pub open_min: Duration,
    /// Longest open period, before jitter.
    pub open_max: Duration,
    /// Number of consecutive failures that opens the breaker.
    pub max_consecutive: u32,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        BreakerSettings {
            open_min: MIN_OPEN_PERIOD,
            open_max: MAX_OPEN_PERIOD,
            max_consecutive: MAX_CONSECUTIVE_FAILURES,
        }
    }
}

/// The reason why a breaker is open.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// Too many requests failed, or the endpoint accepted no connection.
    #[display("failures")]
    Failures,
    /// A response named another adapter or version than requested.
    #[display("wrong adapter")]
    WrongAdapter,
}

/// The state of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Requests are allowed.
    Closed,
    /// No probe is allowed before `until`.
    Open {
        /// Time from which a probe is allowed.
        until: Time,
        /// Why the breaker opened.
        cause: Cause,
    },
    /// A probe is in progress.
    Probing {
        /// Time at which the probe started.
        since: Time,
        /// Why the breaker opened.
        cause: Cause,
    },
}

/// Whether the breaker allows another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerDecision {
    /// The request is allowed.
    Allow,
    /// The request is allowed as the only probe.
    Probe,
    /// The request is allowed only if the breakers of all other endpoints are open too.
    LastResort,
    /// The request is not allowed.
    Deny,
}

/// The health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    settings: BreakerSettings,
    breaker: BreakerState,
    /// The most recent outcomes, one bit each: 1 is a failure, bit 0 is the latest.
    window: u32,
    outcome_count: u32,
    consecutive_failures: u32,
    error_rate: f32,
    latency_ms: f32,
    /// Number of times the breaker opened since it was last closed.
    openings: u32,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            settings: BreakerSettings::default(),
            breaker: BreakerState::Closed,
            window: 0,
            outcome_count: 0,
            consecutive_failures: 0,
            error_rate: 0.0,
            latency_ms: 0.0,
            openings: 0,
        }
    }
}

impl Health {
    /// Creates the health of an endpoint with other breaker settings than the default.
    pub fn with_breaker_settings(settings: BreakerSettings) -> Self {
        Health {
            settings,
            ..Health::default()
        }
    }

    /// Returns the breaker's state as of its last transition; an expired open period or probe is
    /// taken into account by [`Health::breaker_decision`] only.
    pub fn breaker(&self) -> BreakerState {
        self.breaker
    }

    /// Returns the exponential moving average of the share of failures, from 0 to 1.
    pub fn error_rate(&self) -> f32 {
        self.error_rate
    }

    /// Returns the exponential moving average of the time to the first byte in milliseconds, or 0
    /// before the first success.
    pub fn latency_ms(&self) -> f32 {
        self.latency_ms
    }

    /// Returns whether the breaker allows another request.
    pub fn breaker_decision(&self, now: Time) -> BreakerDecision {
        let (due, cause) = match self.breaker {
            BreakerState::Closed => return BreakerDecision::Allow,
            BreakerState::Open { until, cause } => (now >= until, cause),
            BreakerState::Probing { since, cause } => (now >= since.after(PROBE_TIMEOUT), cause),
        };
        match (due, cause) {
            (true, _) => BreakerDecision::Probe,
            (false, Cause::Failures) => BreakerDecision::LastResort,
            (false, Cause::WrongAdapter) => BreakerDecision::Deny,
        }
    }

    /// Records that a request is sent as the probe.
    pub fn begin_probe(&mut self, now: Time) {
        let (BreakerState::Open { cause, .. } | BreakerState::Probing { cause, .. }) = self.breaker
        else {
            return;
        };
        self.breaker = BreakerState::Probing { since: now, cause };
    }

    /// Records that the probe ended without showing success or failure, and allows another one.
    pub fn abandon_probe(&mut self, now: Time) {
        if let BreakerState::Probing { cause, .. } = self.breaker {
            self.breaker = BreakerState::Open { until: now, cause };
        }
    }

    /// Records a complete response. `probe` is whether the request was the probe, in which case the
    /// breaker closes.
    pub fn record_success(&mut self, latency: Duration, probe: bool) {
        let latency_ms = latency.as_secs_f32() * 1_000.0;
        if self.latency_ms == 0.0 {
            self.latency_ms = latency_ms;
        }
        self.latency_ms += EWMA_ALPHA * (latency_ms - self.latency_ms);
        if probe {
            self.close();
        }
        self.record_outcome(false);
    }

    /// Records a failure caused by the endpoint. `probe` is whether the request was the probe.
    pub fn record_failure(&mut self, now: Time, rng: &mut fastrand::Rng, probe: bool) {
        self.record_outcome(true);
        match self.breaker {
            BreakerState::Probing { cause, .. } if probe => self.open(now, rng, cause),
            BreakerState::Closed if self.is_failing() => self.open(now, rng, Cause::Failures),
            _ => {}
        }
    }

    /// Records that the endpoint accepted no connection; the breaker opens immediately.
    pub fn record_unreachable(&mut self, now: Time, rng: &mut fastrand::Rng) {
        self.record_outcome(true);
        if matches!(self.breaker, BreakerState::Open { until, .. } if now < until) {
            return;
        }
        self.open(now, rng, Cause::Failures);
    }

    /// Records a response that names another adapter; the breaker opens immediately.
    pub fn record_wrong_adapter(&mut self, now: Time, rng: &mut fastrand::Rng) {
        self.record_outcome(true);
        let cause = Cause::WrongAdapter;
        // Responses to requests sent before the breaker opened do not double its period again.
        if matches!(
            self.breaker,
            BreakerState::Open { until, cause: old } if old == cause && now < until
        ) {
            return;
        }
        self.open(now, rng, cause);
    }

    fn record_outcome(&mut self, failed: bool) {
        self.window = ((self.window << 1) | u32::from(failed)) & ((1 << WINDOW_OUTCOMES) - 1);
        self.outcome_count = (self.outcome_count + 1).min(WINDOW_OUTCOMES);
        self.consecutive_failures = if failed {
            self.consecutive_failures + 1
        } else {
            0
        };
        let sample = if failed { 1.0 } else { 0.0 };
        self.error_rate += EWMA_ALPHA * (sample - self.error_rate);
    }

    fn is_failing(&self) -> bool {
        let high_failure_share = self.outcome_count >= MIN_OUTCOMES
            && self.window.count_ones() * 2 >= self.outcome_count;
        self.consecutive_failures >= self.settings.max_consecutive || high_failure_share
    }

    fn open(&mut self, now: Time, rng: &mut fastrand::Rng, cause: Cause) {
        let period = self
            .settings
            .open_min
            .saturating_mul(1 << self.openings.min(8))
            .min(self.settings.open_max);
        let jitter = period.mul_f64(rng.f64() * MAX_JITTER_SHARE);
        let until = now.after(period + jitter);
        self.openings += 1;
        self.breaker = BreakerState::Open { until, cause };
    }

    /// Closes the breaker and clears the outcomes; otherwise the next single failure would open it
    /// again.
    fn close(&mut self) {
        *self = Health {
            settings: self.settings,
            latency_ms: self.latency_ms,
            ..Health::default()
        };
    }
}

//! The health of one endpoint as this entry observed it, and its circuit breaker.

use std::time::Duration;

use derive_more::Display;

use crate::time::Time;

/// The weight of one outcome in the moving averages.
const ALPHA: f32 = 0.2;
/// Outcomes in the window.
const WINDOW: u32 = 20;
/// Outcomes below which the share of failures does not open the breaker.
const MIN_OUTCOMES: u32 = 10;
/// Consecutive failures that open the breaker.
const MAX_CONSECUTIVE: u32 = 5;
/// The first open period.
const OPEN_MIN: Duration = Duration::from_secs(5);
/// The longest open period before jitter.
const OPEN_MAX: Duration = Duration::from_secs(60);
/// The share of the open period that jitter adds at most.
const OPEN_JITTER: f64 = 0.2;
/// A probe without a result for this time is given up, so that a lost one does not keep the
/// breaker open forever.
const PROBE_LIMIT: Duration = Duration::from_secs(60);

/// How fast a breaker opens and how long it stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// The first open period.
    pub open_min: Duration,
    /// The longest open period before jitter.
    pub open_max: Duration,
    /// Consecutive failures that open the breaker.
    pub max_consecutive: u32,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        BreakerSettings {
            open_min: OPEN_MIN,
            open_max: OPEN_MAX,
            max_consecutive: MAX_CONSECUTIVE,
        }
    }
}

/// Why a breaker is open.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// Too many failures.
    #[display("failures")]
    Failures,
    /// The endpoint answered as another adapter or version.
    #[display("wrong adapter")]
    WrongAdapter,
}

/// The state of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Requests pass.
    Closed,
    /// No request passes before `until`.
    Open {
        /// The time of the next probe.
        until: Time,
        /// Why it opened.
        cause: Cause,
    },
    /// One request passed as a probe.
    Probing {
        /// When the probe started.
        since: Time,
        /// Why the breaker opened.
        cause: Cause,
    },
}

/// What the breaker says about one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerDecision {
    /// The request may pass.
    Allow,
    /// The request may pass as the one probe.
    Probe,
    /// The request passes only if every other endpoint is open too.
    LastResort,
    /// The request must not pass.
    Deny,
}

/// The health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    settings: BreakerSettings,
    breaker: BreakerState,
    /// The last outcomes, one bit each, 1 for a failure.
    window: u32,
    count: u32,
    consecutive: u32,
    error: f32,
    latency: f32,
    /// How often in a row the breaker opened without closing between.
    openings: u32,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            settings: BreakerSettings::default(),
            breaker: BreakerState::Closed,
            window: 0,
            count: 0,
            consecutive: 0,
            error: 0.0,
            latency: 0.0,
            openings: 0,
        }
    }
}

impl Health {
    /// Creates the health of an endpoint whose breaker has another pace.
    pub fn with_breaker_settings(settings: BreakerSettings) -> Self {
        Health {
            settings,
            ..Health::default()
        }
    }

    /// Returns the state of the breaker.
    pub fn breaker(&self) -> BreakerState {
        self.breaker
    }

    /// Returns the moving average of the share of failures.
    pub fn error_rate(&self) -> f32 {
        self.error
    }

    /// Returns the moving average of the time to the first byte, in milliseconds.
    pub fn latency_ms(&self) -> f32 {
        self.latency
    }

    /// Returns what the breaker says about one more request.
    pub fn breaker_decision(&self, now: Time) -> BreakerDecision {
        let (due, cause) = match self.breaker {
            BreakerState::Closed => return BreakerDecision::Allow,
            BreakerState::Open { until, cause } => (now >= until, cause),
            BreakerState::Probing { since, cause } => (now >= since.after(PROBE_LIMIT), cause),
        };
        match (due, cause) {
            (true, _) => BreakerDecision::Probe,
            (false, Cause::Failures) => BreakerDecision::LastResort,
            (false, Cause::WrongAdapter) => BreakerDecision::Deny,
        }
    }

    /// Notes that a request passes as the probe.
    pub fn begin_probe(&mut self, now: Time) {
        let (BreakerState::Open { cause, .. } | BreakerState::Probing { cause, .. }) = self.breaker
        else {
            return;
        };
        self.breaker = BreakerState::Probing { since: now, cause };
    }

    /// Notes that the probe ended without evidence, so that another one may pass.
    pub fn abandon_probe(&mut self, now: Time) {
        if let BreakerState::Probing { cause, .. } = self.breaker {
            self.breaker = BreakerState::Open { until: now, cause };
        }
    }

    /// Records a whole answer. `probe` says whether the request passed as the probe.
    pub fn record_success(&mut self, latency: Duration, probe: bool) {
        let latency = latency.as_secs_f32() * 1_000.0;
        if self.latency == 0.0 {
            self.latency = latency;
        }
        self.latency += ALPHA * (latency - self.latency);
        if probe {
            self.close();
        }
        self.push(false);
    }

    /// Records a failure that is the endpoint's. `probe` says whether it was the probe's.
    pub fn record_failure(&mut self, now: Time, rng: &mut fastrand::Rng, probe: bool) {
        self.push(true);
        match self.breaker {
            BreakerState::Probing { cause, .. } if probe => self.open(now, rng, cause),
            BreakerState::Closed if self.is_failing() => self.open(now, rng, Cause::Failures),
            _ => {}
        }
    }

    /// Records that the endpoint accepts no connection; the breaker opens at once.
    pub fn record_unreachable(&mut self, now: Time, rng: &mut fastrand::Rng) {
        self.push(true);
        if matches!(self.breaker, BreakerState::Open { until, .. } if now < until) {
            return;
        }
        self.open(now, rng, Cause::Failures);
    }

    /// Records an answer that names another adapter; the breaker opens at once.
    pub fn record_wrong_adapter(&mut self, now: Time, rng: &mut fastrand::Rng) {
        self.push(true);
        let cause = Cause::WrongAdapter;
        // Answers already under way when the breaker opened do not double its period again.
        if matches!(self.breaker, BreakerState::Open { until, cause: old } if old == cause && now < until)
        {
            return;
        }
        self.open(now, rng, cause);
    }

    fn push(&mut self, failed: bool) {
        self.window = ((self.window << 1) | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.count = (self.count + 1).min(WINDOW);
        self.consecutive = if failed { self.consecutive + 1 } else { 0 };
        let sample = if failed { 1.0 } else { 0.0 };
        self.error += ALPHA * (sample - self.error);
    }

    fn is_failing(&self) -> bool {
        let share = self.count >= MIN_OUTCOMES && self.window.count_ones() * 2 >= self.count;
        self.consecutive >= self.settings.max_consecutive || share
    }

    fn open(&mut self, now: Time, rng: &mut fastrand::Rng, cause: Cause) {
        let period = self
            .settings
            .open_min
            .saturating_mul(1 << self.openings.min(8))
            .min(self.settings.open_max);
        let jitter = period.mul_f64(rng.f64() * OPEN_JITTER);
        let until = now.after(period + jitter);
        self.openings += 1;
        self.breaker = BreakerState::Open { until, cause };
    }

    /// Forgets the failures that opened the breaker; otherwise the next single failure would open
    /// it again.
    fn close(&mut self) {
        *self = Health {
            settings: self.settings,
            latency: self.latency,
            ..Health::default()
        };
    }
}

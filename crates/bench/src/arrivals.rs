//! Workload of one run, generated from a seed before any policy runs.

use decision::time::Time;
use fastrand::Rng;
use objects::Priority;

use crate::site::Site;

/// Exponent of the Zipf distribution of adapter popularity.
const ZIPF_EXPONENT: f64 = 1.1;
/// Share of arrivals that belong to bursts for one adapter.
const BURST_SHARE: f64 = 0.15;
/// Mean number of requests in a burst.
const MEAN_BURST_SIZE: f64 = 20.0;
/// Period in which the requests of a burst arrive, in seconds.
const BURST_SPREAD_S: f64 = 3.0;
/// Share of arrivals that are overnight requests.
const OVERNIGHT_SHARE: f64 = 0.2;
/// Mean number of overnight requests that arrive at the same time for one adapter.
const MEAN_OVERNIGHT_BATCH: f64 = 8.0;
/// Share of bookings among the arrivals outside bursts and overnight batches.
const BOOKING_SHARE: f64 = 0.05;
/// Mean time between popularity shifts, in seconds.
const SHIFT_INTERVAL_S: f64 = 75.0;
/// Number of adapters that become popular in one shift.
const ADAPTERS_PER_SHIFT: usize = 8;
/// Number of top ranks among which a shift replaces adapters.
const POPULAR_RANKS: usize = 30;
/// Mean of the random part of the time between restarts of an engine, in seconds; 60 s are added
/// after each restart.
const RESTART_INTERVAL_S: f64 = 900.0;
/// Time from arrival to deadline of interactive and booking requests, in seconds.
const INTERACTIVE_DEADLINE_S: f64 = 20.0;
/// Shortest and longest time from arrival to deadline of overnight requests, in seconds.
const OVERNIGHT_DEADLINE_S: (f64, f64) = (120.0, 600.0);

/// One request of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// When the request reaches its entry.
    pub arrives_at: Time,
    /// Index of the entry that the load balancer chose.
    pub entry: usize,
    /// Index of the adapter.
    pub adapter: u32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the response.
    pub output_tokens: u32,
    /// Priority class; a booking must not run more than once.
    pub priority: Priority,
    /// When the complete response is due.
    pub deadline: Time,
}

/// A change in the popularity of adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct Shift {
    /// When the popularity changes.
    pub at: Time,
    /// Adapters that become popular.
    pub hot_adapters: Vec<u32>,
    /// Pairs of an unpopular and a popular rank whose adapters are exchanged.
    swaps: Vec<(usize, usize)>,
}

/// Requests and events of one run, the same for every policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Requests in order of arrival.
    pub requests: Vec<Request>,
    /// Popularity shifts in order of time.
    pub shifts: Vec<Shift>,
    /// Time and engine index of each restart, in order of time.
    pub restarts: Vec<(Time, usize)>,
}

/// Generates `seconds` of arrivals at `load` times the site's sustainable rate.
pub fn generate(site: &Site, seed: u64, seconds: u64, load: f64) -> Workload {
    let mut rng = Rng::with_seed(seed);
    let mut generator = Generator::new(site, &mut rng);
    let end = seconds as f64;
    let rate = site.sustainable_rate * load;
    let shifts = generator.shifts(end);
    let mut requests = generator.requests(end, rate, &shifts);
    requests.sort_by_key(|request| request.arrives_at);
    let restarts = draw_restarts(site, end, &mut generator.rng);
    Workload {
        requests,
        shifts,
        restarts,
    }
}

struct Generator<'a> {
    site: &'a Site,
    rng: Rng,
    /// Cumulative popularity weights by rank, not normalized.
    popularity: Vec<f64>,
    /// The adapter at each rank.
    ranks: Vec<u32>,
}

impl<'a> Generator<'a> {
    fn new(site: &'a Site, rng: &mut Rng) -> Self {
        let mut ranks: Vec<u32> = (0..site.adapters as u32).collect();
        rng.shuffle(&mut ranks);
        let mut sum = 0.0;
        let popularity = (1..=site.adapters)
            .map(|rank| {
                sum += (rank as f64).powf(-ZIPF_EXPONENT);
                sum
            })
            .collect();
        Generator {
            site,
            rng: rng.fork(),
            popularity,
            ranks,
        }
    }

    /// Draws the shifts; `requests` later applies their swaps to `self.ranks`.
    fn shifts(&mut self, end: f64) -> Vec<Shift> {
        let mut ranks = self.ranks.clone();
        let mut shifts = Vec::new();
        let mut at = draw_exponential(&mut self.rng, SHIFT_INTERVAL_S);
        while at < end {
            let swaps: Vec<(usize, usize)> = (0..ADAPTERS_PER_SHIFT)
                .map(|_| {
                    (
                        self.rng.usize(POPULAR_RANKS * 4..ranks.len()),
                        self.rng.usize(0..POPULAR_RANKS),
                    )
                })
                .collect();
            swaps.iter().for_each(|&(up, down)| ranks.swap(up, down));
            let hot_adapters = swaps.iter().map(|&(_, down)| ranks[down]).collect();
            shifts.push(Shift {
                at: time_from_secs(at),
                hot_adapters,
                swaps,
            });
            at += draw_exponential(&mut self.rng, SHIFT_INTERVAL_S);
        }
        shifts
    }

    fn requests(&mut self, end: f64, rate: f64, shifts: &[Shift]) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut pending = shifts.iter().peekable();
        // A burst or an overnight batch is one arrival event with several requests, so events are
        // rarer than requests: `rate / events` is the mean number of requests in an event.
        let single = 1.0 - BURST_SHARE - OVERNIGHT_SHARE;
        let events = rate
            * (single + BURST_SHARE / MEAN_BURST_SIZE + OVERNIGHT_SHARE / MEAN_OVERNIGHT_BATCH);
        let mut at = draw_exponential(&mut self.rng, 1.0 / events);
        while at < end {
            while let Some(shift) = pending.next_if(|shift| shift.at <= time_from_secs(at)) {
                shift
                    .swaps
                    .iter()
                    .for_each(|&(up, down)| self.ranks.swap(up, down));
            }
            self.push_event(at, rate / events, &mut requests);
            at += draw_exponential(&mut self.rng, 1.0 / events);
        }
        requests
    }

    /// Draws the requests of one arrival event: a single request, a burst or an overnight batch.
    fn push_event(&mut self, at: f64, mean_requests: f64, requests: &mut Vec<Request>) {
        let draw = self.rng.f64() * mean_requests;
        let adapter = self.draw_adapter();
        let burst = BURST_SHARE / MEAN_BURST_SIZE * mean_requests;
        let overnight = OVERNIGHT_SHARE / MEAN_OVERNIGHT_BATCH * mean_requests;
        if draw < burst {
            let count = 1 + self.rng.usize(0..(2.0 * MEAN_BURST_SIZE) as usize - 1);
            for _ in 0..count {
                let at = at + self.rng.f64() * BURST_SPREAD_S;
                requests.push(self.draw_request(at, adapter, Priority::Interactive));
            }
        } else if draw < burst + overnight {
            let count = 1 + self.rng.usize(0..(2.0 * MEAN_OVERNIGHT_BATCH) as usize - 1);
            for _ in 0..count {
                requests.push(self.draw_request(at, adapter, Priority::Overnight));
            }
        } else {
            let booking = self.rng.f64() < BOOKING_SHARE;
            let priority = if booking {
                Priority::Booking
            } else {
                Priority::Interactive
            };
            requests.push(self.draw_request(at, adapter, priority));
        }
    }

    fn draw_adapter(&mut self) -> u32 {
        let total = self.popularity[self.popularity.len() - 1];
        let draw = self.rng.f64() * total;
        let rank = self.popularity.partition_point(|&sum| sum < draw);
        self.ranks[rank.min(self.ranks.len() - 1)]
    }

    fn draw_request(&mut self, at: f64, adapter: u32, priority: Priority) -> Request {
        let time_limit = match priority {
            Priority::Overnight => {
                OVERNIGHT_DEADLINE_S.0
                    + self.rng.f64() * (OVERNIGHT_DEADLINE_S.1 - OVERNIGHT_DEADLINE_S.0)
            }
            _ => INTERACTIVE_DEADLINE_S,
        };
        Request {
            arrives_at: time_from_secs(at),
            entry: self.rng.usize(0..self.site.entries),
            adapter,
            prompt_tokens: draw_length(&mut self.rng, self.site.mean_prompt_tokens),
            output_tokens: draw_length(&mut self.rng, self.site.mean_output_tokens),
            priority,
            deadline: time_from_secs(at + time_limit),
        }
    }
}

fn draw_restarts(site: &Site, end: f64, rng: &mut Rng) -> Vec<(Time, usize)> {
    let mut restarts = Vec::new();
    for endpoint in 0..site.endpoints {
        let mut at = draw_exponential(rng, RESTART_INTERVAL_S);
        while at < end {
            restarts.push((time_from_secs(at), endpoint));
            at += 60.0 + draw_exponential(rng, RESTART_INTERVAL_S);
        }
    }
    restarts.sort();
    restarts
}

/// Draws a length uniformly between 0.25 and 1.75 times the mean, which is its average.
fn draw_length(rng: &mut Rng, mean: f64) -> u32 {
    let low = mean * 0.25;
    (low + rng.f64() * (mean * 1.75 - low)) as u32
}

fn draw_exponential(rng: &mut Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

fn time_from_secs(at: f64) -> Time {
    Time((at * 1e6) as u64)
}

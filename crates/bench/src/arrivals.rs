//! The work of one run, drawn from a seed before any policy sees it.

use decision::time::Time;
use fastrand::Rng;
use objects::Priority;

use crate::site::Site;

/// Exponent of the popularity of adapters by rank.
const ZIPF: f64 = 1.1;
/// Share of arrivals that belong to bursts for one adapter.
const BURST_SHARE: f64 = 0.15;
/// Mean number of requests in a burst.
const BURST_SIZE: f64 = 20.0;
/// Time over which the requests of a burst arrive, in seconds.
const BURST_SPREAD: f64 = 3.0;
/// Share of arrivals that are overnight work.
const OVERNIGHT_SHARE: f64 = 0.2;
/// Mean number of overnight requests that arrive together for one adapter.
const OVERNIGHT_SIZE: f64 = 8.0;
/// Share of the remaining arrivals that are bookings.
const BOOKING_SHARE: f64 = 0.05;
/// Mean time between popularity shifts, in seconds.
const SHIFT_EVERY: f64 = 75.0;
/// Adapters that become hot in one shift.
const SHIFT_COUNT: usize = 8;
/// Ranks from which a shift displaces adapters.
const SHIFT_RANKS: usize = 30;
/// Mean time between restarts of one engine, in seconds.
const RESTART_EVERY: f64 = 900.0;
/// Deadline of interactive and booking requests, in seconds.
const SOON: f64 = 20.0;
/// Earliest and latest deadline of overnight requests, in seconds.
const DAWN: (f64, f64) = (120.0, 600.0);

/// One arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// When it reaches its entry.
    pub at: Time,
    /// The entry that the load balancer chose.
    pub entry: usize,
    /// The adapter.
    pub adapter: u32,
    /// The prompt length in tokens.
    pub prompt: u32,
    /// The answer length in tokens.
    pub output: u32,
    /// The priority class; a booking must not run twice.
    pub priority: Priority,
    /// The time at which the whole answer is due.
    pub due: Time,
}

/// Adapters that become hot at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Shift {
    /// When the popularity changes.
    pub at: Time,
    /// The newly hot adapters.
    pub hot: Vec<u32>,
    /// Pairs of ranks whose adapters change places.
    swaps: Vec<(usize, usize)>,
}

/// The work of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// All arrivals in order.
    pub requests: Vec<Request>,
    /// Popularity shifts in order.
    pub shifts: Vec<Shift>,
    /// Engine restarts in order.
    pub restarts: Vec<(Time, usize)>,
}

/// Draws the work of `seconds` at `load` times the sustainable rate.
pub fn draw(site: &Site, seed: u64, seconds: u64, load: f64) -> Work {
    let mut rng = Rng::with_seed(seed);
    let mut source = Source::new(site, &mut rng);
    let end = seconds as f64;
    let rate = site.sustainable * load;
    let shifts = source.shifts(end);
    let mut requests = source.all(end, rate, &shifts);
    requests.sort_by_key(|request| request.at);
    let restarts = restarts(site, end, &mut source.rng);
    Work {
        requests,
        shifts,
        restarts,
    }
}

struct Source<'a> {
    site: &'a Site,
    rng: Rng,
    /// Cumulative popularity by rank.
    popularity: Vec<f64>,
    /// The adapter at each rank.
    ranks: Vec<u32>,
}

impl<'a> Source<'a> {
    fn new(site: &'a Site, rng: &mut Rng) -> Self {
        let mut ranks: Vec<u32> = (0..site.adapters as u32).collect();
        rng.shuffle(&mut ranks);
        let mut sum = 0.0;
        let popularity = (1..=site.adapters)
            .map(|rank| {
                sum += (rank as f64).powf(-ZIPF);
                sum
            })
            .collect();
        Source {
            site,
            rng: rng.fork(),
            popularity,
            ranks,
        }
    }

    /// Draws the shifts; the swaps of ranks themselves are applied by `all`.
    fn shifts(&mut self, end: f64) -> Vec<Shift> {
        let mut ranks = self.ranks.clone();
        let mut shifts = Vec::new();
        let mut at = exponential(&mut self.rng, SHIFT_EVERY);
        while at < end {
            let swaps: Vec<(usize, usize)> = (0..SHIFT_COUNT)
                .map(|_| {
                    (
                        self.rng.usize(SHIFT_RANKS * 4..ranks.len()),
                        self.rng.usize(0..SHIFT_RANKS),
                    )
                })
                .collect();
            swaps.iter().for_each(|&(up, down)| ranks.swap(up, down));
            let hot = swaps.iter().map(|&(_, down)| ranks[down]).collect();
            shifts.push(Shift {
                at: seconds(at),
                hot,
                swaps,
            });
            at += exponential(&mut self.rng, SHIFT_EVERY);
        }
        shifts
    }

    fn all(&mut self, end: f64, rate: f64, shifts: &[Shift]) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut pending = shifts.iter().peekable();
        // One event of the arrival process brings this many requests on average.
        let single = 1.0 - BURST_SHARE - OVERNIGHT_SHARE;
        let events = rate * (single + BURST_SHARE / BURST_SIZE + OVERNIGHT_SHARE / OVERNIGHT_SIZE);
        let mut at = exponential(&mut self.rng, 1.0 / events);
        while at < end {
            while let Some(shift) = pending.next_if(|shift| shift.at <= seconds(at)) {
                shift
                    .swaps
                    .iter()
                    .for_each(|&(up, down)| self.ranks.swap(up, down));
            }
            self.event(at, rate / events, &mut requests);
            at += exponential(&mut self.rng, 1.0 / events);
        }
        requests
    }

    /// Draws one event: a single request, a burst or a batch of overnight work.
    fn event(&mut self, at: f64, mean: f64, requests: &mut Vec<Request>) {
        let draw = self.rng.f64() * mean;
        let adapter = self.adapter();
        let burst = BURST_SHARE / BURST_SIZE * mean;
        let overnight = OVERNIGHT_SHARE / OVERNIGHT_SIZE * mean;
        if draw < burst {
            let count = 1 + self.rng.usize(0..(2.0 * BURST_SIZE) as usize - 1);
            for _ in 0..count {
                let at = at + self.rng.f64() * BURST_SPREAD;
                requests.push(self.request(at, adapter, Priority::Interactive));
            }
        } else if draw < burst + overnight {
            let count = 1 + self.rng.usize(0..(2.0 * OVERNIGHT_SIZE) as usize - 1);
            for _ in 0..count {
                requests.push(self.request(at, adapter, Priority::Overnight));
            }
        } else {
            let booking = self.rng.f64() < BOOKING_SHARE;
            let priority = if booking {
                Priority::Booking
            } else {
                Priority::Interactive
            };
            requests.push(self.request(at, adapter, priority));
        }
    }

    fn adapter(&mut self) -> u32 {
        let total = self.popularity[self.popularity.len() - 1];
        let draw = self.rng.f64() * total;
        let rank = self.popularity.partition_point(|&sum| sum < draw);
        self.ranks[rank.min(self.ranks.len() - 1)]
    }

    fn request(&mut self, at: f64, adapter: u32, priority: Priority) -> Request {
        let left = match priority {
            Priority::Overnight => DAWN.0 + self.rng.f64() * (DAWN.1 - DAWN.0),
            _ => SOON,
        };
        Request {
            at: seconds(at),
            entry: self.rng.usize(0..self.site.entries),
            adapter,
            prompt: length(&mut self.rng, self.site.prompt),
            output: length(&mut self.rng, self.site.output),
            priority,
            due: seconds(at + left),
        }
    }
}

fn restarts(site: &Site, end: f64, rng: &mut Rng) -> Vec<(Time, usize)> {
    let mut restarts = Vec::new();
    for runner in 0..site.runners {
        let mut at = exponential(rng, RESTART_EVERY);
        while at < end {
            restarts.push((seconds(at), runner));
            at += 60.0 + exponential(rng, RESTART_EVERY);
        }
    }
    restarts.sort();
    restarts
}

/// Draws a length between a quarter and twice the mean, with the mean as its average.
fn length(rng: &mut Rng, mean: f64) -> u32 {
    let low = mean * 0.25;
    (low + rng.f64() * (mean * 1.75 - low)) as u32
}

fn exponential(rng: &mut Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

fn seconds(at: f64) -> Time {
    Time((at * 1e6) as u64)
}

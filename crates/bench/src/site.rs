//! The figures of the measured sites.

use std::time::Duration;

/// One site: its engines, its weight store and its work.
#[derive(Clone, Debug)]
pub struct Site {
    /// The name given on the command line.
    pub name: &'static str,
    /// Engines.
    pub runners: usize,
    /// Failure domains, over which the engines are spread evenly.
    pub domains: usize,
    /// Entries, among which arrivals are spread at random.
    pub entries: usize,
    /// Adapter slots in each engine.
    pub slots: usize,
    /// Concurrent sequences in each engine.
    pub batch: usize,
    /// Time of an engine step without sequences, in microseconds.
    pub step_us: u64,
    /// Additional step time for each running sequence, in microseconds.
    pub seq_us: u64,
    /// Prefill time for each prompt token, in microseconds.
    pub prefill_us: u64,
    /// Loads per second that the weight store delivers.
    pub loads_per_s: f64,
    /// Fetches that the weight store serves at once at full speed.
    pub loads_at_once: usize,
    /// Mean prompt length in tokens.
    pub prompt: f64,
    /// Mean answer length in tokens.
    pub output: f64,
    /// Adapters.
    pub adapters: usize,
    /// Requests per second that the site sustains; `docs/experiments.md` tells how it was found.
    pub sustainable: f64,
    /// The declared `stall_weight` of the policy object.
    pub stall_weight: f64,
}

/// Time to move fetched weights into an engine.
pub const ATTACH: Duration = Duration::from_millis(250);
/// Loads in flight over all engines beyond which moving weights takes proportionally longer.
pub const ATTACH_AT_ONCE: usize = 24;
/// Time that an engine is away when it restarts.
pub const RESTART: Duration = Duration::from_millis(8_000);
/// Interval between full reports of an endpoint to every entry.
pub const REPORT_EVERY: Duration = Duration::from_millis(2_000);
/// Time until a report reaches an entry.
pub const REPORT_LAG: Duration = Duration::from_millis(100);
/// Time between an entry and an agent.
pub const LINK: Duration = Duration::from_millis(1);

/// Returns the figures of the site with this name.
pub fn site(name: &str) -> Option<Site> {
    match name {
        "pinecrest" => Some(pinecrest()),
        "atlas" => Some(atlas()),
        "fleet" => Some(fleet()),
        _ => None,
    }
}

fn pinecrest() -> Site {
    Site {
        name: "pinecrest",
        runners: 10,
        domains: 4,
        entries: 3,
        slots: 8,
        batch: 16,
        step_us: 20_000,
        seq_us: 300,
        prefill_us: 100,
        loads_per_s: 6.0,
        loads_at_once: 3,
        prompt: 400.0,
        output: 120.0,
        adapters: 3_000,
        sustainable: 17.0,
        stall_weight: 0.2,
    }
}

fn atlas() -> Site {
    Site {
        name: "atlas",
        runners: 12,
        domains: 3,
        loads_per_s: 4.5,
        output: 100.0,
        sustainable: 13.0,
        stall_weight: 0.8,
        ..pinecrest()
    }
}

/// One region of one base model at a fifth of its size: 60 of 300 runners.
fn fleet() -> Site {
    Site {
        name: "fleet",
        runners: 60,
        domains: 4,
        entries: 6,
        slots: 16,
        batch: 64,
        seq_us: 200,
        prefill_us: 20,
        loads_per_s: 40.0,
        loads_at_once: 20,
        output: 211.0,
        sustainable: 390.0,
        stall_weight: 0.5,
        ..pinecrest()
    }
}

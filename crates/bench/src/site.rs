//! Parameters of the simulated sites.

use std::time::Duration;

/// Parameters of a site: its engines, its weight store and its workload.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of endpoints, each an agent with one engine.
    pub endpoints: usize,
    /// Number of failure domains, over which the endpoints are spread evenly.
    pub domains: usize,
    /// Number of entries, over which arrivals are spread at random.
    pub entries: usize,
    /// Adapter slots of each engine.
    pub slots: usize,
    /// Maximum number of concurrent sequences of each engine.
    pub batch: usize,
    /// Time of an engine step without sequences, in microseconds.
    pub step_us: u64,
    /// Additional step time for each running sequence, in microseconds.
    pub seq_us: u64,
    /// Prefill time for each prompt token, in microseconds.
    pub prefill_us: u64,
    /// Maximum throughput of the weight store, in loads per second.
    pub loads_per_s: f64,
    /// Number of concurrent fetches that the weight store serves at full speed.
    pub loads_at_once: usize,
    /// Mean prompt length in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean response length in tokens.
    pub mean_output_tokens: f64,
    /// Number of adapters.
    pub adapters: usize,
    /// Requests per second that the site sustains; `docs/experiments.md` describes how it is
    /// determined.
    pub sustainable_rate: f64,
    /// Value of `stall_weight` in the policy object.
    pub stall_weight: f64,
}

/// Time to attach fetched weights to an engine.
pub const ATTACH_TIME: Duration = Duration::from_millis(250);
/// Number of loads in flight over all engines beyond which attaching takes proportionally longer.
pub const FULL_SPEED_LOADS: usize = 24;
/// Downtime of an engine restart.
pub const RESTART_TIME: Duration = Duration::from_millis(8_000);
/// Interval at which every endpoint sends its load report to every entry.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Delay of a report on its way to an entry.
pub const REPORT_DELAY: Duration = Duration::from_millis(100);
/// One-way delay between an entry and an agent.
pub const LINK_DELAY: Duration = Duration::from_millis(1);

/// Returns the site with this name, or `None` if there is none.
pub fn find_site(name: &str) -> Option<Site> {
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
        endpoints: 10,
        domains: 4,
        entries: 3,
        slots: 8,
        batch: 16,
        step_us: 20_000,
        seq_us: 300,
        prefill_us: 100,
        loads_per_s: 6.0,
        loads_at_once: 3,
        mean_prompt_tokens: 400.0,
        mean_output_tokens: 120.0,
        adapters: 3_000,
        sustainable_rate: 17.0,
        stall_weight: 0.2,
    }
}

fn atlas() -> Site {
    Site {
        name: "atlas",
        endpoints: 12,
        domains: 3,
        loads_per_s: 4.5,
        mean_output_tokens: 100.0,
        sustainable_rate: 13.0,
        stall_weight: 0.8,
        ..pinecrest()
    }
}

/// One region of one base model, scaled down to a fifth: 60 instead of 300 endpoints.
fn fleet() -> Site {
    Site {
        name: "fleet",
        endpoints: 60,
        domains: 4,
        entries: 6,
        slots: 16,
        batch: 64,
        seq_us: 200,
        prefill_us: 20,
        loads_per_s: 40.0,
        loads_at_once: 20,
        mean_output_tokens: 211.0,
        sustainable_rate: 390.0,
        stall_weight: 0.5,
        ..pinecrest()
    }
}

//! The cost of routing: one pick, one report, the entry's views.

use std::time::Duration;
use std::time::Instant;

use decision::ids::Incarnation;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::placement::CostParams;
use decision::placement::EndpointOutcome;
use decision::placement::EndpointTable;
use decision::placement::PickArgs;
use decision::report::Report;
use decision::route::Pool;
use decision::time::Time;

use crate::measure::Series;
use crate::measure::heap_bytes;
use crate::measure::time_us;
use crate::sample;

const ENDPOINTS: [usize; 4] = [14, 120, 171, 1_200];
const ADAPTERS: [usize; 3] = [3_000, 10_000, 26_000];
const SLOTS: [usize; 3] = [8, 32, 64];

/// Measures over endpoints, adapters and slots.
pub(crate) fn measure() -> Vec<Series> {
    let mut by_endpoint = Series::new("pick_cpu_us_by_endpoint");
    let mut memory = Series::new("endpoint_views_bytes_by_endpoint");
    let mut report = Series::new("report_apply_cpu_us_by_endpoint");
    for endpoints in ENDPOINTS {
        let before = heap_bytes();
        let mut bench = Bench::new(3_000, endpoints);
        memory.add(endpoints, heap_bytes() - before);
        bench.first_pick_us();
        by_endpoint.add(endpoints, bench.pick_us());
        report.add(endpoints, bench.report_us());
    }
    let mut by_adapter = Series::new("pick_cpu_us_by_adapter");
    let mut first = Series::new("first_pick_cpu_us_by_adapter");
    let mut homes = Series::new("homes_bytes_by_adapter");
    for adapters in ADAPTERS {
        let mut bench = Bench::new(adapters, 171);
        let before = heap_bytes();
        first.add(adapters, bench.first_pick_us());
        homes.add(adapters, heap_bytes() - before);
        by_adapter.add(adapters, bench.pick_us());
    }
    let mut bytes = Series::new("report_bytes_by_slot");
    for slots in SLOTS {
        let report = report_of("runner-0001".into(), 1, slots);
        bytes.add(
            slots,
            serde_json::to_vec(&report).expect("plain data").len() as f64,
        );
    }
    vec![by_endpoint, memory, report, by_adapter, first, homes, bytes]
}

struct Bench {
    places: EndpointTable,
    pool: Pool,
    adapters: usize,
    endpoints: usize,
    rng: fastrand::Rng,
    now: Time,
    seq: u64,
}

impl Bench {
    fn new(adapters: usize, endpoints: usize) -> Bench {
        let set = sample::set(adapters, endpoints);
        let mut places =
            EndpointTable::new("south".into(), "south-0".into(), CostParams::default());
        places.apply_config(&set, &sample::live(&set));
        let mut bench = Bench {
            places,
            pool: Pool::Model("base".into()),
            adapters,
            endpoints,
            rng: fastrand::Rng::with_seed(1),
            now: Time::from_ms(1),
            seq: 0,
        };
        bench.report_all();
        bench
    }

    fn report_all(&mut self) {
        self.seq += 1;
        for number in 0..self.endpoints {
            let report = report_of(endpoint_name(number), self.seq, 32);
            self.places
                .set_link(&report.endpoint, Some(report.incarnation));
            self.places.apply_report(self.now, &report);
        }
    }

    /// Picks once for every adapter, so that all homes are computed; returns the mean time.
    fn first_pick_us(&mut self) -> f64 {
        let start = Instant::now();
        (0..self.adapters).for_each(|number| self.pick(number));
        start.elapsed().as_secs_f64() * 1e6 / self.adapters as f64
    }

    fn pick_us(&mut self) -> f64 {
        time_us(9, 2_000, || {
            let number = self.rng.usize(..self.adapters);
            self.pick(number);
        })
    }

    fn pick(&mut self, number: usize) {
        self.now = self.now.after(Duration::from_micros(50));
        let version = sample::served(number);
        let want = PickArgs {
            request: RequestId(1),
            pool: &self.pool,
            version: Some(&version),
            prefix: 0,
            tried: &[],
            repeatable: true,
        };
        let pick = self
            .places
            .pick(self.now, &mut self.rng, &want)
            .expect("endpoints are live");
        let end = EndpointOutcome::Success(Duration::from_millis(300));
        self.places.finish(self.now, &mut self.rng, &pick, end);
    }

    fn report_us(&mut self) -> f64 {
        time_us(9, 1, || self.report_all()) / self.endpoints as f64
    }
}

fn endpoint_name(number: usize) -> Name {
    format!("runner-{number:04}").as_str().into()
}

fn report_of(endpoint: Name, seq: u64, slots: usize) -> Report {
    let resident = (0..slots).map(|slot| sample::served((slot * 37 + seq as usize) % 3_000));
    Report {
        endpoint,
        incarnation: Incarnation(1),
        seq,
        generation: 1,
        running: 20,
        batch: 64,
        queued: 3,
        stalled: 1,
        slots: slots as u32,
        idle: slots as u32 / 2,
        service_ms: 500,
        load_ms: 300,
        resident: resident.collect(),
        loading: Vec::new(),
        draining: false,
        ready: true,
    }
}

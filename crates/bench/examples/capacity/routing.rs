//! Routing costs: picks, load reports, and the endpoint views of an entry.

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

const ENDPOINT_COUNTS: [usize; 4] = [14, 120, 171, 1_200];
const ADAPTER_COUNTS: [usize; 3] = [3_000, 10_000, 26_000];
const SLOT_COUNTS: [usize; 3] = [8, 32, 64];

/// Measures the costs by number of endpoints, adapters and slots.
pub(crate) fn measure() -> Vec<Series> {
    let mut by_endpoint = Series::new("pick_cpu_us_by_endpoint");
    let mut memory = Series::new("endpoint_views_bytes_by_endpoint");
    let mut report = Series::new("report_apply_cpu_us_by_endpoint");
    for endpoints in ENDPOINT_COUNTS {
        let before = heap_bytes();
        let mut fixture = Fixture::new(3_000, endpoints);
        memory.add(endpoints, heap_bytes() - before);
        fixture.first_pick_us();
        by_endpoint.add(endpoints, fixture.pick_us());
        report.add(endpoints, fixture.report_us());
    }
    let mut by_adapter = Series::new("pick_cpu_us_by_adapter");
    let mut first = Series::new("first_pick_cpu_us_by_adapter");
    let mut homes = Series::new("homes_bytes_by_adapter");
    for adapters in ADAPTER_COUNTS {
        let mut fixture = Fixture::new(adapters, 171);
        let before = heap_bytes();
        first.add(adapters, fixture.first_pick_us());
        homes.add(adapters, heap_bytes() - before);
        by_adapter.add(adapters, fixture.pick_us());
    }
    let mut bytes = Series::new("report_bytes_by_slot");
    for slots in SLOT_COUNTS {
        let report = new_report("runner-0001".into(), 1, slots);
        bytes.add(
            slots,
            serde_json::to_vec(&report)
                .expect("a report can be encoded as JSON")
                .len() as f64,
        );
    }
    vec![by_endpoint, memory, report, by_adapter, first, homes, bytes]
}

struct Fixture {
    table: EndpointTable,
    pool: Pool,
    adapters: usize,
    endpoints: usize,
    rng: fastrand::Rng,
    now: Time,
    seq: u64,
}

impl Fixture {
    fn new(adapters: usize, endpoints: usize) -> Fixture {
        let set = sample::object_set(adapters, endpoints);
        let mut table = EndpointTable::new("south".into(), "south-0".into(), CostParams::default());
        table.apply_config(&set, &sample::all_live(&set));
        let mut fixture = Fixture {
            table,
            pool: Pool::Model("base".into()),
            adapters,
            endpoints,
            rng: fastrand::Rng::with_seed(1),
            now: Time::from_ms(1),
            seq: 0,
        };
        fixture.apply_reports();
        fixture
    }

    fn apply_reports(&mut self) {
        self.seq += 1;
        for number in 0..self.endpoints {
            let report = new_report(endpoint_name(number), self.seq, 32);
            self.table
                .set_link(&report.endpoint, Some(report.incarnation));
            self.table.apply_report(self.now, &report);
        }
    }

    /// Picks once for every adapter, which computes all homes; returns the mean time in
    /// microseconds.
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
        let version = sample::version_name(number);
        let args = PickArgs {
            request: RequestId(1),
            pool: &self.pool,
            version: Some(&version),
            prefix: 0,
            tried: &[],
            repeatable: true,
        };
        let pick = self
            .table
            .pick(self.now, &mut self.rng, &args)
            .expect("a live endpoint exists");
        let outcome = EndpointOutcome::Success(Duration::from_millis(300));
        self.table.finish(self.now, &mut self.rng, &pick, outcome);
    }

    fn report_us(&mut self) -> f64 {
        time_us(9, 1, || self.apply_reports()) / self.endpoints as f64
    }
}

fn endpoint_name(number: usize) -> Name {
    format!("runner-{number:04}").as_str().into()
}

fn new_report(endpoint: Name, seq: u64, slots: usize) -> Report {
    let resident = (0..slots).map(|slot| sample::version_name((slot * 37 + seq as usize) % 3_000));
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

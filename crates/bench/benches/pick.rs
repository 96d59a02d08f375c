//! Benchmarks of one routing decision: resolve the route, pick an endpoint, record the outcome.

#![allow(
    missing_docs,
    reason = "criterion's macros generate undocumented items"
)]

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use decision::collections::Map;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::job::Target;
use decision::placement::CostParams;
use decision::placement::EndpointOutcome;
use decision::placement::EndpointTable;
use decision::placement::InstanceState;
use decision::placement::PickArgs;
use decision::report::Report;
use decision::route::RouteTable;
use decision::time::Time;
use objects::Adapter;
use objects::AdapterVersion;
use objects::Backend;
use objects::Endpoint;
use objects::Fencing;
use objects::Model;
use objects::ObjectSet;
use objects::Priority;
use objects::Route;
use objects::RouteTarget;
use objects::WeightedVersion;
use objects::Workspace;

/// Adapter slots per endpoint.
const SLOTS: usize = 8;
/// Number of requests in flight once the fixture is warm.
const INFLIGHT: usize = 256;
/// Numbers of endpoints and adapters of each case.
const SIZES: [(usize, usize); 6] = [
    (14, 3_000),
    (120, 3_000),
    (1_200, 3_000),
    (14, 26_000),
    (120, 26_000),
    (1_200, 26_000),
];

/// Returns an object set with one model, in one region with four failure domains.
fn build_set(endpoints: usize, adapters: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    let model = Model {
        name: "m".into(),
        base: "base".into(),
        context: None,
    };
    set.models.insert("m".into(), Arc::new(model));
    let workspace = Workspace {
        name: "w".into(),
        rate: 1e9,
        inflight: u32::MAX,
        secret: None,
    };
    set.workspaces.insert("w".into(), Arc::new(workspace));
    for index in 0..endpoints {
        let name: Name = format!("endpoint-{index}").into();
        let endpoint = Endpoint {
            name: name.clone(),
            backend: Backend::Model("m".into()),
            region: "r".into(),
            domain: format!("d{}", index % 4).into(),
            slots: SLOTS as u32,
            batch: 16,
            queue: 64,
            fencing: Fencing::Checked,
            draining: false,
        };
        set.endpoints.insert(name, Arc::new(endpoint));
    }
    for index in 0..adapters {
        add_adapter(&mut set, index);
    }
    set
}

fn add_adapter(set: &mut ObjectSet, index: usize) {
    let name: Name = format!("adapter-{index}").into();
    let version_name: Name = format!("{name}@1").into();
    let adapter = Adapter {
        name: name.clone(),
        model: "m".into(),
        workspace: "w".into(),
    };
    let version = AdapterVersion {
        name: version_name.clone(),
        adapter: name.clone(),
        weights: name.clone(),
        digest: "sha256:00".into(),
        withdrawn: false,
    };
    let target = WeightedVersion {
        version: version_name.clone(),
        weight: 1,
    };
    let route = Route {
        name: name.clone(),
        workspace: "w".into(),
        target: RouteTarget::Versions(vec![target]),
        priority: Priority::Interactive,
        deadline: Duration::from_secs(30),
        repeatable: true,
    };
    set.adapters.insert(name.clone(), Arc::new(adapter));
    set.versions.insert(version_name, Arc::new(version));
    set.routes.insert(name, Arc::new(route));
}

struct Fixture {
    route_table: RouteTable,
    endpoint_table: EndpointTable,
    names: Vec<Name>,
    rng: fastrand::Rng,
    now: Time,
    inflight: std::collections::VecDeque<decision::placement::Pick>,
}

impl Fixture {
    fn new(endpoints: usize, adapters: usize) -> Self {
        let set = build_set(endpoints, adapters);
        let mut endpoint_table = EndpointTable::new("r".into(), "d0".into(), CostParams::default());
        endpoint_table.apply_config(&set, &all_live(&set));
        let mut fixture = Fixture {
            route_table: RouteTable::build(Head::default(), &set),
            endpoint_table,
            names: set.adapters.keys().cloned().collect(),
            rng: fastrand::Rng::with_seed(7),
            now: Time::from_ms(1),
            inflight: std::collections::VecDeque::new(),
        };
        fixture.apply_initial_reports();
        fixture
    }

    /// Computes the homes of all versions and reports each version resident at its first home until
    /// the slots are full, which approximates the state after a long run.
    fn apply_initial_reports(&mut self) {
        let mut resident: Map<Name, Vec<Name>> = Map::default();
        let pool = decision::route::Pool::Model("m".into());
        for name in &self.names {
            let version: Name = format!("{name}@1").into();
            let homes = self.endpoint_table.homes(&pool, &version);
            let home = self.endpoint_table.view(homes[0]).object.name.clone();
            let versions = resident.entry(home).or_default();
            if versions.len() < SLOTS {
                versions.push(version);
            }
        }
        for (endpoint, resident) in resident {
            let report = Report {
                endpoint,
                incarnation: Incarnation(1),
                seq: 1,
                generation: 1,
                running: 10,
                batch: 16,
                queued: 1,
                stalled: 1,
                slots: SLOTS as u32,
                idle: 2,
                service_ms: 1_500,
                load_ms: 300,
                resident,
                loading: Vec::new(),
                draining: false,
                ready: true,
            };
            self.endpoint_table.apply_report(self.now, &report);
        }
    }

    /// Routes a request to an adapter drawn from a skewed distribution, and finishes the oldest
    /// request in flight.
    fn route_request(&mut self) {
        self.now = self.now.after(Duration::from_micros(50));
        let skew = self.rng.f64().powi(4);
        let index = (skew * self.names.len() as f64) as usize;
        let name = &self.names[index];
        let resolved = self.route_table.resolve("w", name, "conversation").unwrap();
        let Target::Version { name: version, .. } = &resolved.choice.target else {
            return;
        };
        let args = PickArgs {
            request: RequestId(1),
            pool: &resolved.choice.pool,
            version: Some(version),
            prefix: 0,
            tried: &[],
            repeatable: true,
        };
        let pick = self
            .endpoint_table
            .pick(self.now, &mut self.rng, &args)
            .unwrap();
        self.inflight.push_back(black_box(pick));
        if self.inflight.len() <= INFLIGHT {
            return;
        }
        let Some(oldest) = self.inflight.pop_front() else {
            return;
        };
        let outcome = EndpointOutcome::Success(Duration::from_millis(20));
        self.endpoint_table
            .finish(self.now, &mut self.rng, &oldest, outcome);
    }
}

fn bench_pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    group.sample_size(30);
    group.warm_up_time(Duration::from_millis(500));
    group.measurement_time(Duration::from_secs(2));
    for (endpoints, adapters) in SIZES {
        let id = BenchmarkId::new(
            format!("{endpoints} endpoints"),
            format!("{adapters} adapters"),
        );
        let mut fixture = Fixture::new(endpoints, adapters);
        group.bench_function(id, |bencher| bencher.iter(|| fixture.route_request()));
    }
    group.finish();
}

/// Ranks the homes of a version, which happens at its first pick after a membership change.
fn bench_rank(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rank");
    group.sample_size(30);
    group.warm_up_time(Duration::from_millis(500));
    group.measurement_time(Duration::from_secs(1));
    for endpoints in [14, 120, 1_200] {
        let set = build_set(endpoints, 1);
        let live = all_live(&set);
        let mut endpoint_table = EndpointTable::new("r".into(), "d0".into(), CostParams::default());
        let pool = decision::route::Pool::Model("m".into());
        let versions: Vec<Name> = (0..4_096).map(|index| format!("{index}").into()).collect();
        let mut index = 0;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                index = (index + 1) % versions.len();
                if index == 0 {
                    // Discards the cached homes of these versions, which the set does not contain.
                    endpoint_table.apply_config(&set, &live);
                }
                endpoint_table.homes(&pool, &versions[index])
            });
        });
    }
    group.finish();
}

fn all_live(set: &ObjectSet) -> Map<Name, InstanceState> {
    let names = set.endpoints.keys();
    names
        .map(|name| (name.clone(), InstanceState::Live))
        .collect()
}

criterion_group!(benches, bench_pick, bench_rank);
criterion_main!(benches);

//! A fleet without network or clocks: entries that place requests, agents that order loads, and
//! engines that load adapters and run requests, in steps of [`STEP_MS`].

use std::collections::VecDeque;
use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use serving::Name;
use serving::fleet::Fleet;
use serving::fleet::HealthSignal;
use serving::fleet::InflightRequest;
use serving::link::Capacity;
use serving::link::ModelSpec;
use serving::link::RunnerState;
use serving::load_scheduler::LoadScheduler;
use serving::load_scheduler::Order;
use serving::placement::Access;
use serving::placement::Requirements;
use serving::request::Artifact;
use serving::runner::EngineReport;
use serving::runner::Member;
use serving::runner::Phase;
use serving::runner::VersionedAdapter;

const STEP_MS: u64 = 10;
/// Time between two updates of an agent without an urgent change.
const UPDATE_MS: u64 = 200;
/// Time between two usage reports of an entry.
const USAGE_MS: u64 = 40;
const RUN_MS: u64 = 300;
const STORE_LOAD_MS: u64 = 250;
const MEMORY_LOAD_MS: u64 = 20;
/// Number of unloaded adapters in an engine's host memory.
const MEMORY_ADAPTERS: usize = 40;
/// Number of loads that the store carries at full speed, for each engine.
const STORE_LOADS_PER_ENGINE: usize = 1;

/// The size of a simulated fleet and its traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) engine_slots: u32,
    pub(crate) adapter_slots: u32,
    pub(crate) adapters: usize,
    pub(crate) requests_per_s: u64,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) requests: u64,
    /// Requests whose adapter was ready within the objective.
    pub(crate) in_time: u64,
    pub(crate) store_loads: u64,
    pub(crate) different_adapters: usize,
    /// Requests that each engine ran.
    pub(crate) runs: Vec<u64>,
}

struct Engine {
    id: Name,
    scheduler: LoadScheduler,
    held: Vec<Name>,
    /// Adapters that load, with what is left of their load at full speed and whether it comes from
    /// the store.
    loading: Vec<(Name, f64, bool)>,
    memory: VecDeque<Name>,
    running: Vec<(usize, InflightRequest, u64)>,
    published: RunnerState,
    published_at: u64,
}

struct WaitingRequest {
    entry: usize,
    artifact: Artifact,
    arrived_ms: u64,
    /// The engine that was asked for the adapter, and when.
    asked: Option<(Name, u64)>,
}

/// The simulated fleet.
pub(crate) struct FleetSim {
    size: FleetSize,
    objective_ms: u64,
    entries: Vec<Fleet>,
    engines: Vec<Engine>,
    waiting: Vec<WaitingRequest>,
    /// Cumulated weights of the adapters, the most popular first.
    weights: Vec<f64>,
    asked_for: Map<Name, u64>,
    rng: fastrand::Rng,
    pub(crate) totals: Totals,
}

impl FleetSim {
    /// Creates a fleet whose adapters are asked for by a Zipf law with this exponent.
    pub(crate) fn new(size: FleetSize, zipf: f64, objective_ms: u64, seed: u64) -> FleetSim {
        let mut sum = 0.0;
        let weight = |rank: usize| (rank as f64).powf(-zipf);
        let weights = (1..=size.adapters).map(|rank| {
            sum += weight(rank);
            sum
        });
        let weights = weights.collect();
        let mut sim = FleetSim {
            size,
            objective_ms,
            entries: (0..size.entries).map(|_| Fleet::new("z".into())).collect(),
            engines: Vec::new(),
            waiting: Vec::new(),
            weights,
            asked_for: Map::default(),
            rng: fastrand::Rng::with_seed(seed),
            totals: Totals::default(),
        };
        for index in 0..size.engines {
            sim.add_engine(index);
        }
        sim.totals.runs = vec![0; size.engines];
        sim
    }

    fn add_engine(&mut self, index: usize) {
        let id: Name = format!("r{index}").into();
        let member = Member {
            id: id.clone(),
            service: "chat".into(),
            addr: ([10, 0, 0, 1], index as u16).into(),
            domain: "z".into(),
            slots: self.size.engine_slots,
            phase: Phase::Ready,
            models: vec!["m".into()],
            adapters: Vec::new(),
            born: 1,
        };
        for fleet in &mut self.entries {
            fleet.join(Time::from_ms(0), member.clone());
        }
        let mut scheduler = LoadScheduler::default();
        scheduler.set_capacity(Capacity {
            weights_mb: 1_000.0,
            slots: self.size.adapter_slots,
            models: vec![ModelSpec {
                name: "m".into(),
                weights_mb: 100.0,
                adapter_mb: 1.0,
            }],
        });
        self.engines.push(Engine {
            id,
            scheduler,
            held: Vec::new(),
            loading: Vec::new(),
            memory: VecDeque::new(),
            running: Vec::new(),
            published: RunnerState::default(),
            published_at: 0,
        });
    }

    /// Runs the fleet for this time.
    pub(crate) fn run(&mut self, length_ms: u64) {
        for step in 1..=length_ms / STEP_MS {
            let now_ms = step * STEP_MS;
            self.load(now_ms);
            self.arrive(now_ms);
            self.place_waiting(now_ms);
            self.end_runs(now_ms);
            if now_ms.is_multiple_of(USAGE_MS) {
                self.report_usage(now_ms);
            }
        }
        self.totals.different_adapters = self.asked_for.len();
    }

    fn arrive(&mut self, now_ms: u64) {
        let expected = self.size.requests_per_s as f64 * STEP_MS as f64 / 1_000.0;
        let mut count = expected as u64;
        count += u64::from(self.rng.f64() < expected - count as f64);
        for _ in 0..count {
            let total = self.weights.last().copied().unwrap_or(0.0);
            let point = self.rng.f64() * total;
            let rank = self.weights.partition_point(|sum| *sum < point);
            let adapter: Name = format!("m/a{rank}").into();
            *self.asked_for.entry(adapter.clone()).or_default() += 1;
            let entry = self.rng.usize(0..self.entries.len());
            self.totals.requests += 1;
            self.waiting.push(WaitingRequest {
                entry,
                artifact: Artifact {
                    model: "m".into(),
                    adapter: Some(adapter),
                },
                arrived_ms: now_ms,
                asked: None,
            });
        }
    }

    fn place_waiting(&mut self, now_ms: u64) {
        let now = Time::from_ms(now_ms);
        for mut request in std::mem::take(&mut self.waiting) {
            let requirements = Requirements {
                service: "chat",
                artifact: Some(&request.artifact),
                min_version: 0,
                excluded: &[],
                only_runner: None,
                slot: None,
                wait_until: Time::default(),
            };
            let fleet = &mut self.entries[request.entry];
            let placement = fleet.place(now, &mut self.rng, &requirements);
            let placement = placement.expect("some engine is eligible");
            let adapter = request.artifact.adapter.clone().expect("an adapter");
            if let Some(replica) = &placement.replica {
                let engine = engine_mut(&mut self.engines, replica);
                engine.scheduler.request_adapter(now, &adapter, 0, false);
            }
            let engine = engine_mut(&mut self.engines, &placement.runner);
            let ready = matches!(placement.access, Access::Ready { .. });
            if ready && engine.held.contains(&adapter) {
                let inflight = fleet.begin_request(
                    now,
                    &placement.runner,
                    placement.born,
                    Some(&adapter),
                    0,
                    None,
                );
                let inflight = inflight.expect("a known engine");
                engine
                    .running
                    .push((request.entry, inflight, now_ms + RUN_MS));
                let waited_ms = now_ms - request.arrived_ms;
                self.totals.in_time += u64::from(waited_ms <= self.objective_ms);
                let index = engine_index(&placement.runner);
                self.totals.runs[index] += 1;
                continue;
            }
            if ready {
                fleet.remove_adapter(&placement.runner, &adapter);
            } else {
                let asked = request.asked.as_ref();
                let renew =
                    asked.is_none_or(|(id, at)| *id != placement.runner || now_ms >= at + 350);
                if renew {
                    engine.scheduler.request_adapter(now, &adapter, 0, true);
                    let ready_at = now.after(Duration::from_millis(STORE_LOAD_MS));
                    if placement.access == Access::Absent {
                        fleet.expect_adapter(&placement.runner, &adapter, 0, ready_at);
                    }
                    request.asked = Some((placement.runner, now_ms));
                }
            }
            self.waiting.push(request);
        }
    }

    fn end_runs(&mut self, now_ms: u64) {
        let now = Time::from_ms(now_ms);
        for engine in &mut self.engines {
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut engine.running)
                .into_iter()
                .partition(|(_, _, ends_ms)| *ends_ms <= now_ms);
            engine.running = running;
            for (entry, inflight, _) in ended {
                let signal = HealthSignal::Success(Duration::from_millis(RUN_MS));
                self.entries[entry].end_request(now, inflight, signal, &mut self.rng);
            }
        }
    }

    fn report_usage(&mut self, now_ms: u64) {
        let now = Time::from_ms(now_ms);
        for (link, fleet) in self.entries.iter_mut().enumerate() {
            for engine in &mut self.engines {
                let usages = fleet.take_usage(&engine.id);
                engine.scheduler.apply_usage(now, link as u64, &usages);
            }
        }
    }

    /// Lets loads progress at the speed of the store, carries out orders and publishes states.
    fn load(&mut self, now_ms: u64) {
        let now = Time::from_ms(now_ms);
        let from_store = self.engines.iter().flat_map(|engine| &engine.loading);
        let from_store = from_store.filter(|(_, _, store)| *store).count();
        let carried = STORE_LOADS_PER_ENGINE * self.engines.len();
        let speed = (carried as f64 / from_store.max(1) as f64).min(1.0);
        let entry_count = self.entries.len() as u32;
        for engine in &mut self.engines {
            engine.progress(speed);
            engine.scheduler.apply_report(now, engine.report());
            while let Some(order) = engine.scheduler.next_order(now) {
                engine.scheduler.order_accepted(now, &order);
                self.totals.store_loads += u64::from(engine.execute(order));
                engine.scheduler.apply_report(now, engine.report());
            }
            engine.scheduler.update_rates(now);
            let state = engine.scheduler.state(now, true, entry_count);
            let due = now_ms >= engine.published_at + UPDATE_MS;
            if due || state.is_urgent_after(&engine.published) {
                let known = (engine.published_at > 0).then_some(&engine.published);
                let update = state.update_since(known);
                for fleet in &mut self.entries {
                    fleet.apply_update(now, &engine.id, &update);
                }
                engine.published = state;
                engine.published_at = now_ms;
            }
        }
    }
}

impl Engine {
    fn progress(&mut self, store_speed: f64) {
        for (_, left_ms, store) in &mut self.loading {
            let speed = if *store { store_speed } else { 1.0 };
            *left_ms -= STEP_MS as f64 * speed;
        }
        let (done, loading): (Vec<_>, Vec<_>) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|(_, left_ms, _)| *left_ms <= 0.0);
        self.loading = loading;
        self.held.extend(done.into_iter().map(|(name, ..)| name));
    }

    /// Carries out an order; returns whether it loads from the store.
    fn execute(&mut self, order: Order) -> bool {
        match order {
            Order::LoadModel { .. } => panic!("the model is loaded"),
            Order::UnloadAdapter { adapter } => {
                self.held.retain(|held| *held != adapter);
                self.memory.retain(|kept| *kept != adapter);
                self.memory.push_back(adapter);
                if self.memory.len() > MEMORY_ADAPTERS {
                    self.memory.pop_front();
                }
                false
            }
            Order::LoadAdapter { adapter, .. } => {
                let store = !self.memory.contains(&adapter);
                self.memory.retain(|kept| *kept != adapter);
                let ms = if store { STORE_LOAD_MS } else { MEMORY_LOAD_MS };
                self.loading.push((adapter, ms as f64, store));
                store
            }
        }
    }

    fn report(&self) -> EngineReport {
        let version = |adapter: &Name| VersionedAdapter {
            adapter: adapter.clone(),
            version: 1,
        };
        EngineReport {
            models: vec!["m".into()],
            adapters: self.held.iter().map(version).collect(),
            loading: self
                .loading
                .iter()
                .map(|(name, ..)| version(name))
                .collect(),
            running: self.running.len() as u32,
            born: 1,
            ..EngineReport::default()
        }
    }
}

fn engine_index(id: &str) -> usize {
    id[1..].parse().expect("the id has a number")
}

fn engine_mut<'a>(engines: &'a mut [Engine], id: &str) -> &'a mut Engine {
    &mut engines[engine_index(id)]
}

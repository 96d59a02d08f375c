//! Guards against an order that the runner left unanswered before a restart and applies after it, when nothing is free
//! for what it loads.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::link::Capacity;
use serving::link::ModelSpec;
use serving::load_scheduler::LoadScheduler;
use serving::load_scheduler::Order;
use serving::runner::EngineReport;
use serving::runner::VersionedAdapter;

/// The adapter slots of the runner.
const SLOTS: u32 = 4;
/// Longer than the time within which the runner applies an order late.
const LATER: Duration = Duration::from_secs(20);
/// Time after which an adapter may be unloaded, and a request for one has expired.
const IDLE: Duration = Duration::from_secs(1);

fn capacity() -> Capacity {
    Capacity {
        weights_mb: 100.0,
        slots: SLOTS,
        models: vec![ModelSpec {
            name: "m".into(),
            weights_mb: 90.0,
            adapter_mb: 1.0,
        }],
    }
}

/// A runner that holds what it has been ordered to load.
#[derive(Default)]
struct Runner {
    report: EngineReport,
    /// The most adapters that it has held or was ordered to hold.
    most: usize,
}

impl Runner {
    fn start(born: u64, most: usize) -> Runner {
        let report = EngineReport {
            born,
            ..EngineReport::default()
        };
        Runner { report, most }
    }

    /// Applies an order that expects `sequence` accepted orders; returns whether it was accepted.
    fn apply(&mut self, order: &Order, sequence: u64) -> bool {
        if sequence != self.report.sequence {
            return false;
        }
        self.report.sequence += 1;
        match order {
            Order::LoadModel { model } => self.report.models = vec![model.clone()],
            Order::UnloadAdapter { adapter } => {
                self.report.adapters.retain(|held| held.adapter != *adapter)
            }
            Order::LoadAdapter { adapter, .. } if self.report.adapter(adapter).is_none() => {
                self.report.adapters.push(VersionedAdapter {
                    adapter: adapter.clone(),
                    version: 1,
                });
                self.most = self.most.max(self.report.adapters.len());
            }
            Order::LoadAdapter { .. } => {}
        }
        true
    }
}

/// An agent with its runner, both at the same time.
struct Pair {
    scheduler: LoadScheduler,
    runner: Runner,
    now: Time,
}

impl Pair {
    fn start() -> Pair {
        let mut scheduler = LoadScheduler::default();
        scheduler.set_capacity(capacity());
        Pair {
            scheduler,
            runner: Runner::start(1, 0),
            now: Time::from_ms(60_000),
        }
    }

    /// Starts the runner again, empty and under the same identifier.
    fn restart(&mut self) {
        self.runner = Runner::start(self.runner.report.born + 1, self.runner.most);
    }

    fn request(&mut self, adapter: &str) {
        let adapter = Name::from(adapter);
        self.scheduler.request_adapter(self.now, &adapter, 0, true);
    }

    /// Requests as many adapters as there are slots.
    fn request_all(&mut self, kind: &str) {
        for index in 0..SLOTS {
            self.request(&format!("m/{kind}{index}"));
        }
    }

    /// Returns the next order with the sequence that it expects.
    fn next_order(&mut self) -> Option<(Order, u64)> {
        self.now = self.now.after(Duration::from_millis(20));
        let report = self.runner.report.clone();
        let sequence = report.sequence;
        self.scheduler.apply_report(self.now, report);
        let order = self.scheduler.next_order(self.now)?;
        Some((order, sequence))
    }

    fn accept(&mut self, order: &Order, sequence: u64) {
        assert!(self.runner.apply(order, sequence), "{order:?} in its turn");
        self.scheduler.order_accepted(self.now, order);
    }

    /// Gives all orders that are due.
    fn settle(&mut self) {
        while let Some((order, sequence)) = self.next_order() {
            self.accept(&order, sequence);
        }
    }

    fn held(&self) -> usize {
        self.runner.report.adapters.len()
    }
}

/// The number of accepted orders after which a late one of [`restarted_with_late_load`] is applied, which is reached
/// again by the load of the model and of as many adapters as there are slots.
const LATE_SEQUENCE: u64 = SLOTS as u64 + 1;

/// Returns a pair whose runner has left the load of an adapter unanswered and has started again.
fn restarted_with_late_load() -> (Pair, Order) {
    let mut pair = Pair::start();
    pair.runner.report.models = vec!["m".into()];
    pair.request_all("old");
    pair.settle();
    pair.now = pair.now.after(IDLE);
    pair.request("m/late");
    let (unload, at) = pair.next_order().expect("no slot is free");
    pair.accept(&unload, at);
    let (late, at) = pair.next_order().expect("a slot is free");
    assert_eq!(at, LATE_SEQUENCE);
    pair.scheduler.order_unanswered(pair.now, &late, at);
    pair.restart();
    pair.now = pair.now.after(IDLE);
    pair.settle();
    (pair, late)
}

#[test]
fn slot_is_free_when_a_late_order_is_due() {
    let (mut pair, late) = restarted_with_late_load();
    while pair.runner.report.sequence < LATE_SEQUENCE {
        pair.request_all("new");
        if let Some((order, at)) = pair.next_order() {
            pair.accept(&order, at);
        }
    }
    assert!(pair.runner.apply(&late, LATE_SEQUENCE));
    assert!(
        pair.runner.most <= SLOTS as usize,
        "held {}",
        pair.runner.most
    );
}

/// The slot is not lost to callers for longer than the late order may come.
#[test]
fn all_slots_are_used_once_a_late_order_is_past() {
    let (mut pair, _) = restarted_with_late_load();
    pair.request_all("new");
    pair.settle();
    assert_eq!(pair.held(), SLOTS as usize - 1, "one slot is kept free");
    assert_eq!(pair.scheduler.reserved_slots(pair.now), 1);
    pair.now = pair.now.after(LATER);
    pair.request_all("new");
    pair.settle();
    assert_eq!(pair.held(), SLOTS as usize);
    assert_eq!(pair.scheduler.reserved_slots(pair.now), 0);
}

#[test]
fn same_incarnation_needs_no_free_slot_for_a_late_order() {
    let mut pair = Pair::start();
    pair.settle();
    pair.request("m/late");
    let (late, at) = pair.next_order().expect("an order");
    pair.scheduler.order_unanswered(pair.now, &late, at);
    pair.request_all("new");
    pair.settle();
    assert_eq!(pair.held(), SLOTS as usize);
    assert!(!pair.runner.apply(&late, at), "its turn is past");
}

/// Half of the orders have no response; the runner applies most of these 2 to 12 s later, and starts again every few
/// seconds.
#[test]
fn late_orders_never_exceed_the_slots() {
    for seed in 0..40 {
        let most = play(seed);
        assert!(most <= SLOTS as usize, "seed {seed}: {most} adapters");
    }
}

/// Returns the most adapters that the runner was ordered to hold.
fn play(seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut pair = Pair::start();
    let end = pair.now.after(Duration::from_secs(120));
    let mut late: Vec<(Time, Order, u64)> = Vec::new();
    while pair.now < end {
        let now = pair.now;
        for (_, order, sequence) in late.extract_if(.., |(due, ..)| *due <= now) {
            pair.runner.apply(&order, sequence);
        }
        if rng.u32(0..250) == 0 {
            pair.restart();
        }
        if rng.u32(0..20) == 0 {
            pair.request(&format!("m/{}", rng.u32(0..2 * SLOTS)));
        }
        let Some((order, sequence)) = pair.next_order() else {
            continue;
        };
        match rng.u32(0..8) {
            0..4 => pair.accept(&order, sequence),
            4 => {
                pair.runner.apply(&order, sequence);
                pair.scheduler.order_unanswered(pair.now, &order, sequence);
            }
            _ => {
                let due = pair
                    .now
                    .after(Duration::from_millis(rng.u64(2_000..12_000)));
                late.push((due, order.clone(), sequence));
                pair.scheduler.order_unanswered(pair.now, &order, sequence);
            }
        }
    }
    pair.runner.most
}

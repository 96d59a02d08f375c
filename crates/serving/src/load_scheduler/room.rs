//! Whether the runner has room for what an order loads, beside what it holds and what late orders may load.

use decision::time::Time;
use derive_more::Add;
use derive_more::Sub;
use derive_more::Sum;

use super::LoadScheduler;
use super::Order;
use super::belongs_to;

/// What models and adapters take up at a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Add, Sub, Sum)]
struct Footprint {
    /// Adapter slots.
    slots: u32,
    /// Memory, in MB.
    mb: f64,
}

impl Footprint {
    fn of_model(mb: f64) -> Footprint {
        Footprint { slots: 0, mb }
    }

    fn of_adapter(mb: f64) -> Footprint {
        Footprint { slots: 1, mb }
    }

    fn max(self, other: Footprint) -> Footprint {
        Footprint {
            slots: self.slots.max(other.slots),
            mb: self.mb.max(other.mb),
        }
    }

    fn is_zero(self) -> bool {
        self == Footprint::default()
    }
}

impl LoadScheduler {
    /// Returns whether an order, and the late orders that may be applied after it, leave the runner within its
    /// capacity.
    pub(super) fn has_room(&self, now: Time, order: &Order) -> bool {
        let reserved = self.reserved(now, |late| self.added_after(order, late));
        let added = self.added_by(order) + reserved;
        if added.is_zero() {
            return true;
        }
        let total = self.resident() - self.freed_by(order) + added;
        total.slots <= self.capacity.slots && total.mb <= self.capacity.weights_mb
    }

    /// Returns the slots that are kept free for late orders, which the runner may apply after the next order.
    pub fn reserved_slots(&self, now: Time) -> u32 {
        let reserved = self.reserved(now, |late| self.added_by(late));
        reserved.slots
    }

    /// Returns the most that late orders may add after the next order; `added` says what one of them adds.
    fn reserved(&self, now: Time, added: impl Fn(&Order) -> Footprint) -> Footprint {
        let late = self.late_orders.applicable(now, self.report.sequence + 1);
        let steps = late.iter().map(|orders| {
            let added = orders.iter().map(|late| added(late));
            added.fold(Footprint::default(), Footprint::max)
        });
        steps.sum()
    }

    /// Returns what a late order adds once `order` has taken effect.
    fn added_after(&self, order: &Order, late: &Order) -> Footprint {
        match (order, late) {
            (Order::LoadModel { model }, Order::LoadModel { model: late }) if model == late => {
                Footprint::default()
            }
            (Order::LoadAdapter { adapter, .. }, Order::LoadAdapter { adapter: late, .. })
                if adapter == late =>
            {
                Footprint::default()
            }
            (Order::UnloadAdapter { adapter }, Order::LoadAdapter { adapter: late, .. })
                if adapter == late =>
            {
                self.adapter(adapter)
            }
            _ => self.added_by(late),
        }
    }

    /// Returns what the runner's models and adapters take up, with those that are loading.
    fn resident(&self) -> Footprint {
        let models = Footprint::of_model(self.models_mb());
        let adapters = self.report.adapters.iter().chain(&self.report.loading);
        let adapters: Footprint = adapters.map(|held| self.adapter(&held.adapter)).sum();
        models + adapters
    }

    /// Returns what an order adds to what the runner holds.
    fn added_by(&self, order: &Order) -> Footprint {
        match order {
            Order::LoadModel { model } if !self.report.models.contains(model) => {
                Footprint::of_model(self.model_mb(model))
            }
            Order::LoadAdapter { adapter, .. } if self.report.adapter(adapter).is_none() => {
                self.adapter(adapter)
            }
            Order::LoadModel { .. } | Order::LoadAdapter { .. } | Order::UnloadAdapter { .. } => {
                Footprint::default()
            }
        }
    }

    /// Returns what an order removes from what the runner holds.
    fn freed_by(&self, order: &Order) -> Footprint {
        match order {
            Order::UnloadAdapter { adapter } => self.adapter(adapter),
            Order::LoadModel { .. } | Order::LoadAdapter { .. } => Footprint::default(),
        }
    }

    /// Returns the total size of the models that the runner holds, in MB.
    pub(super) fn models_mb(&self) -> f64 {
        let models = self.report.models.iter();
        models.map(|model| self.model_mb(model)).sum()
    }

    fn model_mb(&self, model: &str) -> f64 {
        let mut specs = self.capacity.models.iter();
        let spec = specs.find(|spec| *spec.name == *model);
        spec.map_or(0.0, |spec| spec.weights_mb)
    }

    fn adapter(&self, adapter: &str) -> Footprint {
        let mut specs = self.capacity.models.iter();
        let spec = specs.find(|spec| belongs_to(adapter, &spec.name));
        Footprint::of_adapter(spec.map_or(0.0, |spec| spec.adapter_mb))
    }
}

//! Whether the runner has room for what an order loads, beside what it holds.

use derive_more::Add;
use derive_more::Sum;

use super::LoadScheduler;
use super::Order;
use super::belongs_to;

/// What models and adapters take up at a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Add, Sum)]
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

    fn is_zero(self) -> bool {
        self == Footprint::default()
    }
}

impl LoadScheduler {
    /// Returns whether an order leaves the runner within its capacity.
    pub(super) fn has_room(&self, order: &Order) -> bool {
        let added = self.added_by(order);
        if added.is_zero() {
            return true;
        }
        let total = self.resident() + added;
        total.slots <= self.capacity.slots && total.mb <= self.capacity.weights_mb
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

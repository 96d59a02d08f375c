//! The slot that a request holds at a runner which limits its requests.
//!
//! Invariant: a slot that its request does not use is given back when it is dropped, which locks the
//! entry's state.

use std::sync::Arc;

use serving::backpressure::Slot;

use crate::entry::Entry;

/// A slot of one request; dropping it gives it back.
pub(crate) struct HeldSlot {
    entry: Arc<Entry>,
    /// `None` once the slot is used.
    slot: Option<Slot>,
}

impl HeldSlot {
    pub(crate) fn new(entry: Arc<Entry>, slot: Slot) -> HeldSlot {
        HeldSlot {
            entry,
            slot: Some(slot),
        }
    }

    /// Returns the slot, unless it is used.
    pub(crate) fn get(&self) -> Option<&Slot> {
        self.slot.as_ref()
    }

    /// Ends the hold of a slot that was used for a request.
    pub(crate) fn set_used(mut self) {
        self.slot = None;
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        if let Some(slot) = &self.slot {
            let now = self.entry.now();
            self.entry.state().fleet.backpressure.release(now, slot);
        }
    }
}

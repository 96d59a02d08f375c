//! Orders without a response, which the runner may still apply some seconds later.
//!
//! Invariant: an order takes effect only at a runner that has accepted as many orders as the order names. The
//! number starts anew at a restart, so that an order to one incarnation may be applied by a later one.

use std::time::Duration;

use decision::time::Time;

use super::Order;

/// The time within which a runner may still apply an order that it has not answered.
const LATE_ORDER_TTL: Duration = Duration::from_secs(15);

/// An order without a response.
#[derive(Clone, Debug)]
struct LateOrder {
    order: Order,
    /// The number of accepted orders at which it takes effect.
    sequence: u64,
    sent: Time,
}

impl LateOrder {
    fn is_expired(&self, now: Time) -> bool {
        now.since(self.sent) > LATE_ORDER_TTL
    }
}

/// The orders without a response that the runner may still apply.
#[derive(Debug, Default)]
pub(super) struct LateOrders {
    orders: Vec<LateOrder>,
}

impl LateOrders {
    /// Records an order without a response. The same order given again counts once, from the last time on.
    pub(super) fn record(&mut self, now: Time, order: &Order, sequence: u64) {
        self.orders.retain(|late| {
            let given_again = late.sequence == sequence && late.order == *order;
            !given_again && !late.is_expired(now)
        });
        self.orders.push(LateOrder {
            order: order.clone(),
            sequence,
            sent: now,
        });
    }

    /// Returns the orders that the runner may apply on its own once it has accepted `sequence` orders: for each
    /// number from there on the ones that name it, of which one takes effect, up to the first number that none
    /// names.
    pub(super) fn applicable(&self, now: Time, sequence: u64) -> Vec<Vec<&Order>> {
        let orders_at = |sequence| {
            let due = self
                .orders
                .iter()
                .filter(|late| late.sequence == sequence && !late.is_expired(now));
            due.map(|late| &late.order).collect::<Vec<_>>()
        };
        (sequence..)
            .map(orders_at)
            .take_while(|orders| !orders.is_empty())
            .collect()
    }
}

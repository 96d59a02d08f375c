//! The wait of a request for a retry that the budget foresees.
//!
//! Invariant: nothing is taken from the budget here; a wait ends before the deadline, and when the entry cannot
//! answer any more.

use std::time::Duration;

use serving::retry_budget::RetryCause;
use spdlog::info;

use crate::dispatch::ActiveRequest;
use crate::step::Step;

/// The interval at which a request that waits for a retry looks for one.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl ActiveRequest {
    /// Waits until the budget has a retry, if one is foreseen before the deadline.
    pub(crate) async fn wait_for_retry(&mut self) {
        let mut is_logged = false;
        loop {
            let now = self.entry.now();
            let next_at = {
                let mut state = self.entry.state();
                let budget = &mut state.retry_budget;
                budget.next_retry(now, &self.service, RetryCause::Ended)
            };
            let next_at = next_at.filter(|next_at| *next_at < self.deadline);
            let Some(next_at) = next_at.filter(|next_at| *next_at > now) else {
                return;
            };
            if !self.can_finish() {
                return;
            }
            if !is_logged {
                let wait_ms = next_at.since(now).as_millis() as u64;
                info!("retry awaited", kv: { id = &*self.head.request.id, wait_ms });
                is_logged = true;
            }
            self.step = Step::Retry;
            let wake = now.after(RETRY_CHECK_INTERVAL).min(next_at);
            tokio::time::sleep_until(self.entry.clock.instant(wake)).await;
        }
    }
}

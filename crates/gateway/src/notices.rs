//! Records and logs what runners say of themselves in their responses.

use platform::runner::ResponseHead;
use platform::runner::ResponseKind;
use serving::backpressure::NoticeChange;
use serving::backpressure::NoticeSource;
use spdlog::info;

use crate::answer::AnswerReader;

impl AnswerReader {
    /// Records what the runner says of itself with its response. A response that is not known to be its
    /// own says nothing.
    pub(crate) fn record_notice(&self, response_head: &ResponseHead) {
        let ran = match response_head.kind {
            ResponseKind::Success | ResponseKind::Failure => true,
            ResponseKind::NotRun | ResponseKind::NotLoaded => false,
            ResponseKind::OtherRunner | ResponseKind::Unverified => return,
        };
        let source = NoticeSource {
            runner: &self.runner,
            born: self.born,
            sent_at: self.sent_at,
            ran,
        };
        let now = self.entry.now();
        let mut state = self.entry.state();
        let state = &mut *state;
        let notice = &response_head.notice;
        let changes = state
            .fleet
            .record_notice(now, &mut state.rng, source, notice);
        let entries = state.fleet.entries.get();
        for change in changes {
            self.log_change(change, entries);
        }
    }

    fn log_change(&self, change: NoticeChange, entries: u32) {
        let text = change.to_string();
        let notices = &self.entry.metrics.runner_notices;
        notices.with_label_values(&[text.as_str()]).inc();
        let limit = match change {
            NoticeChange::Limited(rate) => rate,
            NoticeChange::Unlimited | NoticeChange::Leaving | NoticeChange::Paused(_) => 0.0,
        };
        let pause_ms = match change {
            NoticeChange::Paused(until) => until.since(self.entry.now()).as_millis() as u64,
            NoticeChange::Limited(_) | NoticeChange::Unlimited | NoticeChange::Leaving => 0,
        };
        info!("runner notice", kv: {
            id = &*self.id, runner = &*self.runner, born = self.born,
            change = text.as_str(), limit, pause_ms, entries
        });
    }
}

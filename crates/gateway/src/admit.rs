//! Waits for the admission of a request's prompt by the agent of the chosen runner.
//!
//! Invariants: the wait is bounded by shares of the route's latency objective and of the time to the
//! request's deadline, so that an agent that does not answer delays a request but never stops it; each
//! prompt that was announced to an agent is reported as read exactly once.

use std::sync::Arc;
use std::time::Duration;

use serving::Name;
use serving::admission;
use serving::admission::Prompt;
use serving::placement::Placement;
use spdlog::warn;

use crate::dispatch::ActiveRequest;
use crate::entry::Entry;

/// How long after the limit the agent's answer is still awaited; the agent admits a prompt at the
/// limit.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// A prompt that was announced to an agent. Dropping it reports the prompt as read.
pub(crate) struct AnnouncedPrompt {
    entry: Arc<Entry>,
    runner: Name,
    id: u64,
}

impl Drop for AnnouncedPrompt {
    fn drop(&mut self) {
        self.entry.links.finish_prompt(&self.runner, self.id);
    }
}

impl ActiveRequest {
    /// Waits until the runner's agent admits the prompt. Returns `None` at once if the request has no
    /// prompt, or the agent admits none.
    pub(crate) async fn admit_prompt(&mut self, placement: &Placement) -> Option<AnnouncedPrompt> {
        let request = &self.head.request;
        let gap_goal = self.route.gap_goal;
        if request.artifact.is_none() || !self.route.kind.is_stream() || gap_goal.is_zero() {
            return None;
        }
        let runner = placement.runner.clone();
        let started_at = self.entry.now();
        let admits = {
            let state = self.entry.state();
            state.fleet.get(&runner)?.admits_prompts(started_at)
        };
        if !admits {
            return None;
        }
        let age = started_at.since(self.arrival);
        let goal_left = self.route.goal.saturating_sub(age);
        let limit = admission::wait_limit(goal_left, self.deadline.since(started_at));
        let id = self.entry.links.next_prompt();
        let prompt = Prompt {
            id,
            tokens: request.prompt_tokens,
            priority: self.priority,
            wait_ms: limit.as_millis() as u32,
            gap_ms: gap_goal.as_millis() as u32,
            adapter: self.adapter().cloned(),
        };
        let admitted = self.entry.links.ask_admission(&runner, prompt)?;
        let announced = AnnouncedPrompt {
            entry: self.entry.clone(),
            runner,
            id,
        };
        let answered = tokio::time::timeout(limit + ANSWER_MARGIN, admitted).await;
        let now = self.entry.now();
        self.admission_time += now.since(started_at);
        // Without an answer the request goes on: the connection has ended, or the agent is stuck.
        if answered.is_err() {
            let runner = &announced.runner;
            self.entry.state().fleet.mark_unanswered(now, runner);
            warn!("agent did not answer", kv: { id = &*self.head.request.id, runner = &**runner });
        }
        Some(announced)
    }
}

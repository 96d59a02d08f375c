//! Admits prompts to a runner one after the other, so that prefill does not hold up its streams.
//!
//! A runner reads prompts in pieces between the tokens of its running requests. Several prompts that
//! reach it at once make one long row of such pieces, and each stream pauses for all of it.
//!
//! Invariants: the agent of a runner sees the prompts of all entries; a prompt waits at most as long
//! as its entry allows; a prompt is admitted at once if no other one is being read; the number of
//! waiting prompts is bounded, and an admitted one is forgotten after [`READ_TIMEOUT`].

use std::time::Duration;

use decision::collections::Map;
use decision::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::load_scheduler::LinkId;

/// Share of the gap objective that the prefill in progress may take.
const GAP_SHARE: f32 = 0.25;
/// Share of the gap objective up to which a prompt is admitted beside any others.
const SHORT_PROMPT_SHARE: f32 = 0.125;
/// Assumed prefill throughput in tokens per millisecond, before the first prompt.
const DEFAULT_TOKENS_PER_MS: f32 = 40.0;
/// Lower bound of the throughput, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f32 = 0.1;
/// Length of a prompt from which its time shows the throughput rather than the time to the first
/// event, in tokens.
const MIN_SAMPLE_TOKENS: u32 = 64;
/// Factor by which older prompts count less in the throughput with each new one.
const DECAY_PER_PROMPT: f32 = 0.95;
/// Time after which an admitted prompt counts as read although no message said so.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of prompts that wait; further ones are admitted at once.
const MAX_WAITING: usize = 256;

/// The longest wait for an admission, as a share of what is left of the latency objective.
const GOAL_SHARE: f64 = 0.9;
/// The longest wait of a request whose latency objective has passed.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(40);
/// The longest wait as a share of the time to the deadline. The rest is for the work: a prompt is sent also if
/// its agent does not answer.
const DEADLINE_SHARE: f64 = 0.6;

/// Returns the longest wait for an admission. `goal_left` is what is left of the latency objective, `time_left` the
/// time to the deadline.
pub fn wait_limit(goal_left: Duration, time_left: Duration) -> Duration {
    let limit = goal_left.mul_f64(GOAL_SHARE).max(MIN_WAIT_LIMIT);
    limit.min(time_left.mul_f64(DEADLINE_SHARE))
}

/// A prompt that an entry is about to send to the runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The number of the request, unique within the connection of the entry.
    #[serde(rename = "i")]
    pub id: u64,
    /// The length of the prompt, in tokens.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// The priority of the request; 0 is the most urgent.
    #[serde(rename = "p")]
    pub priority: u8,
    /// The longest time that the request waits for its admission, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u32,
    /// The target for the longest gap between two events of a stream, in milliseconds.
    #[serde(rename = "g")]
    pub gap_ms: u32,
    /// The adapter that the request uses, which must stay loaded until then.
    #[serde(rename = "a")]
    pub adapter: Option<Name>,
}

/// Identifies a prompt within the agent.
pub type PromptKey = (LinkId, u64);

#[derive(Debug)]
struct WaitingPrompt {
    key: PromptKey,
    prompt: Prompt,
    asked_at: Time,
}

impl WaitingPrompt {
    fn expires_at(&self) -> Time {
        let wait = Duration::from_millis(u64::from(self.prompt.wait_ms));
        self.asked_at.after(wait)
    }
}

#[derive(Debug)]
struct AdmittedPrompt {
    tokens: u32,
    adapter: Option<Name>,
    admitted_at: Time,
    /// Whether no other prompt was read at the same time, so that its time shows the throughput.
    alone: bool,
}

/// The prompts of one runner that wait for their prefill or are being read.
#[derive(Debug)]
pub struct PrefillAdmission {
    waiting: Vec<WaitingPrompt>,
    admitted: Map<PromptKey, AdmittedPrompt>,
    /// Decayed sums over prompts that were read alone.
    read_tokens: f32,
    read_ms: f32,
}

impl Default for PrefillAdmission {
    fn default() -> Self {
        PrefillAdmission {
            waiting: Vec::new(),
            admitted: Map::default(),
            read_tokens: DEFAULT_TOKENS_PER_MS,
            read_ms: 1.0,
        }
    }
}

impl PrefillAdmission {
    /// Adds a prompt that waits for its admission; [`PrefillAdmission::admit`] follows.
    pub fn ask(&mut self, now: Time, link: LinkId, prompt: Prompt) {
        let key = (link, prompt.id);
        self.waiting.push(WaitingPrompt {
            key,
            prompt,
            asked_at: now,
        });
        self.waiting.sort_by_key(|waiting| {
            let priority = waiting.prompt.priority;
            (priority, waiting.asked_at, waiting.key)
        });
    }

    /// Records that a prompt was read, or that its request has ended.
    pub fn finish(&mut self, now: Time, key: PromptKey) {
        self.waiting.retain(|waiting| waiting.key != key);
        let Some(read) = self.admitted.remove(&key) else {
            return;
        };
        if read.alone && read.tokens >= MIN_SAMPLE_TOKENS {
            let took = now.since(read.admitted_at).as_secs_f32() * 1_000.0;
            self.read_tokens = self.read_tokens * DECAY_PER_PROMPT + read.tokens as f32;
            self.read_ms = self.read_ms * DECAY_PER_PROMPT + took;
        }
    }

    /// Forgets the prompts of an entry whose connection ended.
    pub fn remove_link(&mut self, link: LinkId) {
        self.waiting.retain(|waiting| waiting.key.0 != link);
        self.admitted.retain(|key, _| key.0 != link);
    }

    /// Returns whether a prompt that waits or is being read uses an adapter.
    pub fn uses(&self, adapter: &str) -> bool {
        let named = |name: &Option<Name>| name.as_deref() == Some(adapter);
        let mut admitted = self.admitted.values();
        let mut waiting = self.waiting.iter();
        admitted.any(|read| named(&read.adapter)) || waiting.any(|w| named(&w.prompt.adapter))
    }

    /// Returns the prompts that may be sent now. A prompt whose wait has ended is one of them.
    pub fn admit(&mut self, now: Time) -> Vec<PromptKey> {
        self.admitted
            .retain(|_, read| now < read.admitted_at.after(READ_TIMEOUT));
        let mut keys = Vec::new();
        let overflow = self.waiting.len().saturating_sub(MAX_WAITING);
        let mut index = 0;
        while index < self.waiting.len() {
            let waiting = &self.waiting[index];
            let forced = now >= waiting.expires_at() || keys.len() < overflow;
            if forced || self.has_room_for(&waiting.prompt) {
                let waiting = self.waiting.remove(index);
                keys.push(waiting.key);
                self.start(now, waiting);
            } else {
                index += 1;
            }
        }
        keys
    }

    /// Returns the expected time for reading the prompts that wait.
    pub fn backlog(&self) -> Duration {
        let waiting = self.waiting.iter();
        let tokens: f32 = waiting.map(|waiting| waiting.prompt.tokens as f32).sum();
        Duration::from_secs_f32(tokens / self.tokens_per_ms() / 1_000.0)
    }

    /// Returns the prefill throughput, in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f32 {
        (self.read_tokens / self.read_ms.max(1.0)).max(MIN_TOKENS_PER_MS)
    }

    fn has_room_for(&self, prompt: &Prompt) -> bool {
        let gap_ms = prompt.gap_ms as f32;
        let tokens_per_ms = self.tokens_per_ms();
        let own_ms = prompt.tokens as f32 / tokens_per_ms;
        let pending: f32 = self.admitted.values().map(|read| read.tokens as f32).sum();
        let pending_ms = pending / tokens_per_ms;
        own_ms <= gap_ms * SHORT_PROMPT_SHARE || pending_ms < gap_ms * GAP_SHARE
    }

    fn start(&mut self, now: Time, waiting: WaitingPrompt) {
        let alone = self.admitted.is_empty();
        for read in self.admitted.values_mut() {
            read.alone = false;
        }
        let read = AdmittedPrompt {
            tokens: waiting.prompt.tokens,
            adapter: waiting.prompt.adapter,
            admitted_at: now,
            alone,
        };
        self.admitted.insert(waiting.key, read);
    }
}

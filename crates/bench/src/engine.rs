//! Model of an engine with continuous batching.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

use crate::arrivals::Request;
use crate::site::Site;

/// An engine that runs steps while it has sequences; each step adds one token to each sequence.
#[derive(Default)]
pub struct Engine {
    /// Whether the engine runs; false during a restart.
    pub up: bool,
    /// Incremented when the engine stops; events scheduled in an earlier epoch are ignored.
    pub epoch: u32,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Factor on step times; 1 for an engine without a fault.
    pub slowness: f64,
    /// Adapters that are loaded.
    pub resident: Set<u32>,
    /// Adapters being loaded.
    pub loading: Set<u32>,
    /// Number of finished steps.
    pub step_count: u64,
    /// Number of running sequences, summed over all steps.
    pub sequence_steps: u64,
    batch: usize,
    /// Running requests by the step count at which they finish.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    /// Number of running sequences by adapter.
    adapter_uses: Map<u32, u32>,
    /// Requests admitted since the last step began, with their prompt lengths.
    awaiting_prefill: Vec<(usize, u32)>,
    /// Requests whose prompt the current step processes.
    prefilled: Vec<usize>,
    /// Accumulated time up to `free_since`, see [`Engine::free_time`].
    free_time: Duration,
    free_since: Time,
}

impl Engine {
    /// Returns a running engine with no adapters and no sequences.
    pub fn new(site: &Site) -> Self {
        Engine {
            up: true,
            slowness: 1.0,
            batch: site.batch,
            ..Engine::default()
        }
    }

    /// Returns the number of running sequences.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no sequence is running.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the total time during which the engine was up and its batch was not full.
    pub fn free_time(&self, now: Time) -> Duration {
        if self.up && self.running.len() < self.batch {
            return self.free_time + now.since(self.free_since);
        }
        self.free_time
    }

    /// Returns whether a running sequence uses the adapter.
    pub fn uses_adapter(&self, adapter: u32) -> bool {
        self.adapter_uses.contains_key(&adapter)
    }

    /// Adds a sequence, which joins the next step.
    ///
    /// # Panics
    ///
    /// If the adapter is not resident, the engine is down or the batch is full.
    pub fn admit(&mut self, now: Time, id: usize, request: &Request) {
        assert!(
            self.resident.contains(&request.adapter),
            "adapter of request {id} is not resident"
        );
        assert!(
            self.up && self.running.len() < self.batch,
            "engine is down or its batch is full for request {id}"
        );
        self.update_free_time(now);
        let steps =
            self.step_count + u64::from(self.stepping) + u64::from(request.output_tokens.max(1));
        self.running.push(Reverse((steps, id)));
        self.awaiting_prefill.push((id, request.prompt_tokens));
        *self.adapter_uses.entry(request.adapter).or_default() += 1;
    }

    /// Begins a step and returns its duration, or `None` if the engine is down, is in a step or has
    /// no sequences.
    pub fn begin_step(&mut self, site: &Site) -> Option<Duration> {
        if self.stepping || !self.up || self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        self.sequence_steps += self.running.len() as u64;
        let prompt: u32 = self
            .awaiting_prefill
            .iter()
            .map(|&(_, prompt)| prompt)
            .sum();
        self.prefilled = self.awaiting_prefill.drain(..).map(|(id, _)| id).collect();
        let us = site.step_us
            + site.seq_us * self.running.len() as u64
            + site.prefill_us * u64::from(prompt);
        Some(Duration::from_micros(us).mul_f64(self.slowness))
    }

    /// Ends a step; returns the requests that got their first token and those that finished.
    pub fn finish_step(&mut self, now: Time, requests: &[Request]) -> (Vec<usize>, Vec<usize>) {
        self.update_free_time(now);
        self.stepping = false;
        self.step_count += 1;
        let mut done = Vec::new();
        while let Some(&Reverse((step, id))) = self.running.peek()
            && step <= self.step_count
        {
            self.running.pop();
            self.release_adapter(requests[id].adapter);
            done.push(id);
        }
        (std::mem::take(&mut self.prefilled), done)
    }

    /// Removes a sequence; returns whether it was running.
    pub fn abort(&mut self, now: Time, id: usize, adapter: u32) -> bool {
        let before = self.running.len();
        self.update_free_time(now);
        self.running.retain(|&Reverse((_, other))| other != id);
        self.awaiting_prefill.retain(|&(other, _)| other != id);
        self.prefilled.retain(|&other| other != id);
        let found = self.running.len() < before;
        if found {
            self.release_adapter(adapter);
        }
        found
    }

    /// Stops the engine; returns the requests that were running, sorted.
    pub fn stop(&mut self, now: Time) -> Vec<usize> {
        self.update_free_time(now);
        self.up = false;
        self.epoch += 1;
        self.stepping = false;
        self.resident.clear();
        self.loading.clear();
        self.adapter_uses.clear();
        self.awaiting_prefill.clear();
        self.prefilled.clear();
        let mut interrupted: Vec<usize> = self.running.drain().map(|Reverse((_, id))| id).collect();
        interrupted.sort_unstable();
        interrupted
    }

    /// Starts the stopped engine; no adapter is resident.
    pub fn start(&mut self, now: Time) {
        self.update_free_time(now);
        self.up = true;
    }

    fn release_adapter(&mut self, adapter: u32) {
        if let Some(count) = self.adapter_uses.get_mut(&adapter) {
            *count -= 1;
            if *count == 0 {
                self.adapter_uses.remove(&adapter);
            }
        }
    }

    /// Adds the free time up to `now`; must run before the number of sequences or `up` changes.
    fn update_free_time(&mut self, now: Time) {
        self.free_time = self.free_time(now);
        self.free_since = now;
    }
}

//! A small model of an engine with continuous batching.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use decision::collections::Map;
use decision::collections::Set;
use decision::time::Time;

use crate::arrivals::Request;
use crate::site::Site;

/// One engine. It steps while it has sequences; each step adds one token to each of them.
#[derive(Default)]
pub struct Engine {
    /// Whether the engine is running and not restarting.
    pub up: bool,
    /// The number of starts; events of earlier starts are void.
    pub start: u32,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Factor on step times; above 1 for a slow engine.
    pub slowness: f64,
    /// Resident adapters.
    pub resident: Set<u32>,
    /// Adapters being loaded.
    pub loading: Set<u32>,
    /// Steps made.
    pub steps: u64,
    /// Sequences running, summed over steps.
    pub sequences: u64,
    batch: usize,
    running: BinaryHeap<Reverse<(u64, usize)>>,
    adapters: Map<u32, u32>,
    /// Sequences admitted since the last step.
    fresh: Vec<(usize, u32)>,
    prefilled: Vec<usize>,
    free: Duration,
    free_since: Time,
}

impl Engine {
    /// Returns an empty engine.
    pub fn new(site: &Site) -> Self {
        Engine {
            up: true,
            slowness: 1.0,
            batch: site.batch,
            ..Engine::default()
        }
    }

    /// Returns the number of sequences.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no sequence runs.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns how long the engine has been up with a free place in the batch.
    pub fn free(&self, now: Time) -> Duration {
        if self.up && self.running.len() < self.batch {
            return self.free + now.since(self.free_since);
        }
        self.free
    }

    /// Returns whether a sequence uses this adapter.
    pub fn uses(&self, adapter: u32) -> bool {
        self.adapters.contains_key(&adapter)
    }

    /// Admits a sequence; it joins the next step.
    pub fn admit(&mut self, now: Time, id: usize, request: &Request) {
        assert!(
            self.resident.contains(&request.adapter),
            "adapter of {id} is not resident"
        );
        assert!(
            self.up && self.running.len() < self.batch,
            "no place for {id}"
        );
        self.settle(now);
        let steps = self.steps + u64::from(self.stepping) + u64::from(request.output.max(1));
        self.running.push(Reverse((steps, id)));
        self.fresh.push((id, request.prompt));
        *self.adapters.entry(request.adapter).or_default() += 1;
    }

    /// Starts a step if there is work; returns its length.
    pub fn begin(&mut self, site: &Site) -> Option<Duration> {
        if self.stepping || !self.up || self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        self.sequences += self.running.len() as u64;
        let prompt: u32 = self.fresh.iter().map(|&(_, prompt)| prompt).sum();
        self.prefilled = self.fresh.drain(..).map(|(id, _)| id).collect();
        let us = site.step_us
            + site.seq_us * self.running.len() as u64
            + site.prefill_us * u64::from(prompt);
        Some(Duration::from_micros(us).mul_f64(self.slowness))
    }

    /// Ends a step; returns the requests with their first token and those that finished.
    pub fn finish(&mut self, now: Time, requests: &[Request]) -> (Vec<usize>, Vec<usize>) {
        self.settle(now);
        self.stepping = false;
        self.steps += 1;
        let mut done = Vec::new();
        while let Some(&Reverse((step, id))) = self.running.peek()
            && step <= self.steps
        {
            self.running.pop();
            self.release(requests[id].adapter);
            done.push(id);
        }
        (std::mem::take(&mut self.prefilled), done)
    }

    /// Removes one sequence; returns whether it was there.
    pub fn abort(&mut self, now: Time, id: usize, adapter: u32) -> bool {
        let before = self.running.len();
        self.settle(now);
        self.running.retain(|&Reverse((_, other))| other != id);
        self.fresh.retain(|&(other, _)| other != id);
        self.prefilled.retain(|&other| other != id);
        let found = self.running.len() < before;
        if found {
            self.release(adapter);
        }
        found
    }

    /// Stops the engine; returns the sequences that were cut off.
    pub fn stop(&mut self, now: Time) -> Vec<usize> {
        self.settle(now);
        self.up = false;
        self.start += 1;
        self.stepping = false;
        self.resident.clear();
        self.loading.clear();
        self.adapters.clear();
        self.fresh.clear();
        self.prefilled.clear();
        let mut cut: Vec<usize> = self.running.drain().map(|Reverse((_, id))| id).collect();
        cut.sort_unstable();
        cut
    }

    /// Starts the engine with no adapter resident.
    pub fn restart(&mut self, now: Time) {
        self.settle(now);
        self.up = true;
    }

    fn release(&mut self, adapter: u32) {
        if let Some(count) = self.adapters.get_mut(&adapter) {
            *count -= 1;
            if *count == 0 {
                self.adapters.remove(&adapter);
            }
        }
    }

    /// Accounts for free time up to `now`, before the number of sequences changes.
    fn settle(&mut self, now: Time) {
        self.free = self.free(now);
        self.free_since = now;
    }
}

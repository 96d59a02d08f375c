//! What a test does to the processes and links of a [`World`].

use std::time::Duration;

use serving::quota::AGENT_WARM_UP;
use serving::quota::Accounts;
use serving::quota::Buckets;

use super::Event;
use super::World;
use super::shares;

/// The time in which an urgent update of an agent reaches all entries.
const UPDATE_SPREAD_MS: u64 = 50;

impl World {
    /// Stops an entry, with all that it holds.
    pub(crate) fn stop_entry(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
        self.close_links(entry);
    }

    /// Starts an entry in place of one that has stopped.
    pub(crate) fn restart_entry(&mut self, entry: usize) {
        let count = self.entries.len();
        self.close_links(entry);
        let holder = self.new_holder();
        let state = &mut self.entries[entry];
        state.holder = holder;
        state.accounts = Accounts::new(holder, shares(count));
        state.waiting.clear();
        state
            .accounts
            .set_limits(self.limits.0, Some(&self.limits.1));
        if !std::mem::replace(&mut state.is_up, true) {
            self.schedule(1, Event::Tick(entry));
        }
        for agent in 0..self.agents.len() {
            self.relink_later(entry, agent);
        }
    }

    /// Cuts an entry off from one agent, which does not know; it is linked again later.
    pub(crate) fn cut_link(&mut self, entry: usize, agent: usize) {
        let name = self.agents[agent].name.clone();
        let asks = self.entries[entry].accounts.unlink(self.now, &name, false);
        self.send(entry, asks);
        self.relink_later(entry, agent);
    }

    /// Cuts an entry off from all agents, and does not link it again.
    pub(crate) fn cut_off(&mut self, entry: usize) {
        for agent in &self.agents {
            let state = &mut self.entries[entry];
            state.accounts.unlink(self.now, &agent.name, false);
        }
    }

    /// Ends the process of an agent, and with it its links and buckets.
    pub(crate) fn stop_agent(&mut self, agent: usize) {
        self.agents[agent].is_up = false;
        self.agents[agent].buckets = Buckets::default();
        let name = self.agents[agent].name.clone();
        for entry in 0..self.entries.len() {
            let asks = self.entries[entry].accounts.unlink(self.now, &name, true);
            self.send(entry, asks);
        }
    }

    /// Starts an agent again; entries hear that it keeps buckets when it has warmed up.
    pub(crate) fn start_agent(&mut self, agent: usize) {
        self.agents[agent].is_up = true;
        let warm_up = AGENT_WARM_UP.as_millis() as u64;
        for entry in 0..self.entries.len() {
            let delay = warm_up + self.rng.u64(..UPDATE_SPREAD_MS);
            self.schedule(delay, Event::Relinked { entry, agent });
        }
    }

    /// Keeps an agent from doing anything for a while.
    pub(crate) fn freeze_agent(&mut self, agent: usize, ms: u64) {
        self.agents[agent].frozen_until = self.now.after(Duration::from_millis(ms));
    }

    /// Lets this share of the messages from and to an entry be lost once and sent again.
    pub(crate) fn set_loss(&mut self, entry: usize, share: f64) {
        self.network.loss.insert(entry, share);
    }

    /// Holds up the messages between an entry and an agent for a while. The link stays open.
    pub(crate) fn hold_up(&mut self, entry: usize, agent: usize, ms: u64) {
        let until = self.now.after(Duration::from_millis(ms));
        self.network.cut_until.insert((entry, agent), until);
    }
}

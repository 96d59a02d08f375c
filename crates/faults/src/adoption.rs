//! Adoption of new generations by entries and agents, driven by [`decision::adopt`].

use std::net::SocketAddr;

use decision::adopt::Action;
use decision::adopt::PeerAddr;
use decision::adopt::Source;
use decision::ids::Head;
use decision::publish::HEAD_KEY;

use crate::inject::FaultTarget;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::simulation::CALL_TIMEOUT;
use crate::simulation::ConfigMessage;
use crate::simulation::MS;
use crate::simulation::ProcessId;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::TableCaller;
use crate::storage::Availability;
use crate::storage::TableOp;

/// Time of a read while the object store is slow.
const SLOW_READ: u64 = 2_000 * MS;
/// Port that stands for agent 0; the process number is added.
const AGENT_PORT_BASE: u16 = 2_000;
/// Port that stands for entry 0; the index is added.
const ENTRY_PORT_BASE: u16 = 1_000;

fn process_addr(id: ProcessId) -> SocketAddr {
    let port = match id {
        ProcessId::Entry(index) => ENTRY_PORT_BASE + index as u16,
        ProcessId::Agent(pid) => AGENT_PORT_BASE + pid as u16,
    };
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn process_at(addr: SocketAddr) -> ProcessId {
    match addr.port() {
        port if port >= AGENT_PORT_BASE => ProcessId::Agent((port - AGENT_PORT_BASE) as usize),
        port => ProcessId::Entry((port - ENTRY_PORT_BASE) as usize),
    }
}

impl Simulation {
    /// Returns the peers of a process according to the visible membership list.
    fn peers(&self, own: ProcessId) -> Vec<PeerAddr<'static>> {
        let peers = self
            .visible_members()
            .iter()
            .filter(|listed| listed.id != own);
        peers
            .map(|listed| PeerAddr {
                addr: process_addr(listed.id),
                domain: match listed.name.ends_with('1') {
                    true => "d1",
                    false => "d0",
                },
            })
            .collect()
    }

    pub(crate) fn tick_adoption(&mut self, id: ProcessId) {
        let peers = self.peers(id);
        let (now, live) = (self.local_time(id), self.visible_members().len());
        let mut rng = self.rng.fork();
        let adoption = &mut self.process_mut(id).adoption;
        for action in adoption.tick(now, live, &peers, &mut rng) {
            self.perform_adoption_action(id, action);
        }
    }

    fn perform_adoption_action(&mut self, id: ProcessId, action: Action) {
        match action {
            Action::ReadTable => {
                let epoch = self.process(id).epoch;
                let caller = TableCaller::Head(id, epoch);
                self.call_table(TableOp::Read(HEAD_KEY.to_owned()), caller);
            }
            Action::Exchange(addrs) => {
                let head = self.process(id).adoption.head().clone();
                for addr in addrs {
                    let peer = process_at(addr);
                    let message = ConfigMessage::ExchangeRequest(head.clone(), id);
                    self.send_config(peer, message);
                }
            }
            Action::Fetch { head, source } => self.fetch_snapshot(id, head, source),
        }
    }

    fn send_config(&mut self, to: ProcessId, message: ConfigMessage) {
        let epoch = self.process(to).epoch;
        self.send_message(SimEvent::Config(to, epoch, message));
    }

    fn fetch_snapshot(&mut self, id: ProcessId, head: Head, source: Source) {
        self.inject_at(Step::Fetch, FaultTarget::process(id));
        let peer = match source {
            Source::Peer(addr) => Some(process_at(addr)),
            Source::Table | Source::Message => None,
        };
        let has_snapshot = |peer: ProcessId| {
            let process = self.process(peer);
            process.up && process.paused_until <= self.now && *process.adoption.head() == head
        };
        let (delay, found) = match (peer, self.storage.store_availability) {
            (Some(peer), _) => (5 * MS, has_snapshot(peer)),
            (None, Availability::Up) => (10 * MS, true),
            (None, Availability::Slow) => (SLOW_READ, true),
            (None, Availability::Down) => (CALL_TIMEOUT, false),
        };
        let epoch = self.process(id).epoch;
        let message = ConfigMessage::FetchEnded(head, found);
        self.schedule(delay, SimEvent::Config(id, epoch, message));
    }

    pub(crate) fn on_config_message(&mut self, id: ProcessId, message: ConfigMessage) {
        match message {
            ConfigMessage::Head(head, from) => self.on_head(id, &head, from),
            ConfigMessage::ExchangeRequest(head, from) => {
                let own = self.process(id).adoption.head().clone();
                self.send_config(from, ConfigMessage::Head(own, Some(id)));
                self.on_head(id, &head, Some(from));
            }
            ConfigMessage::FetchEnded(head, true) => self.on_snapshot(id, &head),
            ConfigMessage::FetchEnded(_, false) => {
                let now = self.local_time(id);
                self.process_mut(id).adoption.fetch_failed(now);
            }
        }
    }

    fn on_head(&mut self, id: ProcessId, head: &Head, from: Option<ProcessId>) {
        let known = self.process(id).adoption.head().clone();
        if head.generation > known.generation {
            self.inject_at(Step::Hear, FaultTarget::process(id));
        } else if self.mutant == Some(Mutant::AdoptOlderHead) && head.generation < known.generation
        {
            return self.put_in_force(id, head);
        }
        let peers = self.peers(id);
        let source = from.map_or(Source::Table, |peer| Source::Peer(process_addr(peer)));
        let now = self.local_time(id);
        let adoption = &mut self.process_mut(id).adoption;
        adoption.observe(head, source, &peers);
        if let Some(action) = adoption.fetch(now) {
            self.perform_adoption_action(id, action);
        }
    }

    fn on_snapshot(&mut self, id: ProcessId, head: &Head) {
        self.inject_at(Step::Apply, FaultTarget::process(id));
        let (peers, process) = (self.peers(id), self.process(id));
        if !process.up || process.paused_until > self.now {
            let epoch = process.epoch;
            let message = ConfigMessage::FetchEnded(head.clone(), true);
            return self.schedule(0, SimEvent::Config(id, epoch, message));
        }
        if self.process_mut(id).adoption.fetched(head, &peers) {
            self.put_in_force(id, head);
            let mut rng = self.rng.fork();
            if let Some(push) = decision::adopt::Adoption::push(&peers, &mut rng) {
                self.perform_adoption_action(id, push);
            }
        }
    }

    fn put_in_force(&mut self, id: ProcessId, head: &Head) {
        let Some((_, set)) = self.storage.object_set(head) else {
            return;
        };
        let process = self.process_mut(id);
        process.set = set;
        let name = match id {
            ProcessId::Entry(_) => format!("{} epoch {}", process.name, process.epoch),
            ProcessId::Agent(pid) => format!("{} process {pid}", process.name),
        };
        let heads = self.history.adopted_heads.entry(name).or_default();
        heads.push(head.clone());
        match id {
            ProcessId::Entry(index) => self.rebuild_routing(index),
            ProcessId::Agent(pid) => self.apply_config(pid),
        }
    }
}

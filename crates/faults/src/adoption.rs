//! Adoption of generations by every process, decided by [`decision::adopt`].

use std::net::SocketAddr;

use decision::adopt::Action;
use decision::adopt::PeerAddr;
use decision::adopt::Source;
use decision::ids::Head;
use decision::publish::HEAD_KEY;

use crate::inject::Subject;
use crate::matrix::Step;
use crate::mutant::Mutant;
use crate::platform::Mode;
use crate::platform::Op;
use crate::world::Asker;
use crate::world::CALL_TIMEOUT;
use crate::world::Happening;
use crate::world::MS;
use crate::world::Proc;
use crate::world::Spread;
use crate::world::World;

/// The time that a slow object store takes.
const SLOW_READ: u64 = 2_000 * MS;
/// The port from which agents are numbered.
const AGENT_PORT: u16 = 2_000;
/// The port from which entries are numbered.
const ENTRY_PORT: u16 = 1_000;

fn addr(proc: Proc) -> SocketAddr {
    let port = match proc {
        Proc::Entry(index) => ENTRY_PORT + index as u16,
        Proc::Agent(pid) => AGENT_PORT + pid as u16,
    };
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn proc_at(addr: SocketAddr) -> Proc {
    match addr.port() {
        port if port >= AGENT_PORT => Proc::Agent((port - AGENT_PORT) as usize),
        port => Proc::Entry((port - ENTRY_PORT) as usize),
    }
}

impl World {
    /// Returns the peers that the list gives a process.
    fn peers(&self, own: Proc) -> Vec<PeerAddr<'static>> {
        let others = self.listed().iter().filter(|listed| listed.proc != own);
        others
            .map(|listed| PeerAddr {
                addr: addr(listed.proc),
                domain: match listed.name.ends_with('1') {
                    true => "d1",
                    false => "d0",
                },
            })
            .collect()
    }

    pub(crate) fn tick_adoption(&mut self, proc: Proc) {
        let peers = self.peers(proc);
        let (now, live) = (self.time(proc), self.listed().len());
        let mut rng = self.rng.fork();
        let adoption = &mut self.node_mut(proc).adoption;
        for action in adoption.tick(now, live, &peers, &mut rng) {
            self.adoption_action(proc, action);
        }
    }

    fn adoption_action(&mut self, proc: Proc, action: Action) {
        match action {
            Action::ReadTable => {
                let life = self.node(proc).life;
                let asker = Asker::Head(proc, life);
                self.table(Op::Read(HEAD_KEY.to_owned()), asker);
            }
            Action::Exchange(addrs) => {
                let head = self.node(proc).adoption.head().clone();
                for addr in addrs {
                    let peer = proc_at(addr);
                    let asked = Spread::Asked(head.clone(), proc);
                    self.spread(peer, asked);
                }
            }
            Action::Fetch { head, source } => self.fetch(proc, head, source),
        }
    }

    fn spread(&mut self, to: Proc, message: Spread) {
        let life = self.node(to).life;
        self.send(Happening::Spread(to, life, message));
    }

    fn fetch(&mut self, proc: Proc, head: Head, source: Source) {
        self.inject_at(Step::Fetch, Subject::of(proc));
        let peer = match source {
            Source::Peer(addr) => Some(proc_at(addr)),
            Source::Table | Source::Message => None,
        };
        let has = |peer: Proc| {
            let node = self.node(peer);
            node.up && node.paused <= self.now && *node.adoption.head() == head
        };
        let (delay, found) = match (peer, self.platform.store) {
            (Some(peer), _) => (5 * MS, has(peer)),
            (None, Mode::Up) => (10 * MS, true),
            (None, Mode::Slow) => (SLOW_READ, true),
            (None, Mode::Down) => (CALL_TIMEOUT, false),
        };
        let life = self.node(proc).life;
        let fetched = Spread::Fetched(head, found);
        self.at(delay, Happening::Spread(proc, life, fetched));
    }

    pub(crate) fn spread_event(&mut self, proc: Proc, message: Spread) {
        match message {
            Spread::Heard(head, from) => self.heard(proc, &head, from),
            Spread::Asked(head, from) => {
                let own = self.node(proc).adoption.head().clone();
                self.spread(from, Spread::Heard(own, Some(proc)));
                self.heard(proc, &head, Some(from));
            }
            Spread::Fetched(head, true) => self.fetched(proc, &head),
            Spread::Fetched(_, false) => {
                let now = self.time(proc);
                self.node_mut(proc).adoption.fetch_failed(now);
            }
        }
    }

    fn heard(&mut self, proc: Proc, head: &Head, from: Option<Proc>) {
        let known = self.node(proc).adoption.head().clone();
        if head.generation > known.generation {
            self.inject_at(Step::Hear, Subject::of(proc));
        } else if self.mutant == Some(Mutant::TakeOlderHead) && head.generation < known.generation {
            return self.put_in_force(proc, head);
        }
        let peers = self.peers(proc);
        let source = from.map_or(Source::Table, |peer| Source::Peer(addr(peer)));
        let now = self.time(proc);
        let adoption = &mut self.node_mut(proc).adoption;
        adoption.observe(head, source, &peers);
        if let Some(action) = adoption.fetch(now) {
            self.adoption_action(proc, action);
        }
    }

    fn fetched(&mut self, proc: Proc, head: &Head) {
        self.inject_at(Step::Apply, Subject::of(proc));
        let (peers, node) = (self.peers(proc), self.node(proc));
        if !node.up || node.paused > self.now {
            let life = node.life;
            let again = Spread::Fetched(head.clone(), true);
            return self.at(0, Happening::Spread(proc, life, again));
        }
        if self.node_mut(proc).adoption.fetched(head, &peers) {
            self.put_in_force(proc, head);
            let mut rng = self.rng.fork();
            if let Some(push) = decision::adopt::Adoption::push(&peers, &mut rng) {
                self.adoption_action(proc, push);
            }
        }
    }

    fn put_in_force(&mut self, proc: Proc, head: &Head) {
        let Some((_, set)) = self.platform.set(head) else {
            return;
        };
        let node = self.node_mut(proc);
        node.set = set;
        let name = match proc {
            Proc::Entry(_) => format!("{} life {}", node.name, node.life),
            Proc::Agent(pid) => format!("{} process {pid}", node.name),
        };
        let heads = self.record.adopted.entry(name).or_default();
        heads.push(head.clone());
        match proc {
            Proc::Entry(index) => self.rebuild(index),
            Proc::Agent(pid) => self.configure(pid),
        }
    }
}

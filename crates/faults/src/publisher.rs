//! Operators who publish, decided by [`decision::publish`].

use std::sync::Arc;
use std::time::Duration;

use decision::ids::Head;
use decision::publish::Action;
use decision::publish::Event;
use decision::publish::GenerationRow;
use decision::publish::HEAD_KEY;
use decision::publish::Outcome;
use decision::publish::Publisher;
use decision::publish::Request;
use decision::publish::generation_key;
use decision::time::Time;
use objects::ObjectSet;

use crate::inject::Subject;
use crate::matrix::Step;
use crate::platform::Mode;
use crate::platform::Op;
use crate::platform::Platform;
use crate::platform::TableReply;
use crate::platform::Value;
use crate::platform::Write;
use crate::sample;
use crate::world::Asker;
use crate::world::CALL_TIMEOUT;
use crate::world::Happening;
use crate::world::MS;
use crate::world::World;

/// The time that a slow object store takes.
const SLOW_WRITE: u64 = 2_000 * MS;

/// One publication.
#[derive(Debug)]
pub(crate) struct Publication {
    publisher: Publisher,
    /// Whether the pending action is a swap.
    swaps: bool,
    /// How it ended.
    pub(crate) outcome: Option<Outcome>,
}

fn request(name: &str, base: Head, base_set: Arc<ObjectSet>, set: ObjectSet) -> Request {
    Request {
        base,
        base_set,
        set: Arc::new(set),
        sources: Arc::default(),
        rebase: false,
        publisher: name.into(),
        unix_time: 1_800_000_000,
        restores: None,
    }
}

fn swap(expected: u64, row: Box<GenerationRow>) -> Op {
    let head = Write {
        key: HEAD_KEY.to_owned(),
        version: expected,
        value: Value::Head(row.head.clone()),
    };
    let generation = Write {
        key: generation_key(row.head.generation),
        version: 0,
        value: Value::Generation(row),
    };
    Op::Tx(vec![head, generation])
}

/// Returns a platform on which generation 1 was published without faults.
pub(crate) fn first() -> Platform {
    let mut platform = Platform::default();
    let mut rng = fastrand::Rng::with_seed(0);
    let start = request("first", Head::default(), Arc::default(), sample::base_set());
    let (mut publisher, mut action) = Publisher::start(start, Time::default());
    loop {
        let event = match action {
            Action::ReadHead => Event::Head(platform.head()),
            Action::Fetch(head) => fetched(&platform, &head),
            Action::Store(upload) => {
                platform.put(&upload);
                Event::Stored
            }
            Action::Swap { expected, row } => {
                platform.apply(&swap(expected, row));
                Event::Swapped
            }
            Action::Finish(_) => return platform,
            Action::ReadBack(_) | Action::Wait(_) => Event::Waited,
        };
        action = publisher.handle(event, Time::default(), &mut rng);
    }
}

fn fetched(platform: &Platform, head: &Head) -> Event {
    match platform.set(head) {
        Some((manifest, set)) => Event::Fetched {
            manifest: Box::new(manifest),
            set,
        },
        None => Event::Failed("no such set".to_owned()),
    }
}

impl World {
    /// Publishes a change of the first adapter to this version, based on generation 1.
    pub(crate) fn publish(&mut self, version: &'static str) {
        let base = self.platform.accepted[0].clone();
        let Some((_, before)) = self.platform.set(&base) else {
            return;
        };
        let set = sample::changed_set(&before, version);
        let start = request(version, base, before, set);
        let (publisher, action) = Publisher::start(start, Time(self.now));
        let index = self.publications.len();
        self.publications.push(Publication {
            publisher,
            swaps: false,
            outcome: None,
        });
        self.inject_at(Step::Validate, Subject::default());
        self.publisher_action(index, action);
    }

    fn publisher_action(&mut self, index: usize, action: Action) {
        self.publications[index].swaps = matches!(action, Action::Swap { .. });
        match action {
            Action::ReadHead => self.table(Op::Read(HEAD_KEY.to_owned()), Asker::Publisher(index)),
            Action::Fetch(head) => {
                let event = match self.platform.store {
                    Mode::Down => Event::Failed("object store down".to_owned()),
                    Mode::Up | Mode::Slow => fetched(&self.platform, &head),
                };
                self.later_event(index, self.store_delay(), event);
            }
            Action::Store(upload) => {
                self.inject_at(Step::WriteObject, Subject::default());
                let failed = Event::Failed("object store down".to_owned());
                let lost = self.platform.store_losses > 0;
                self.platform.store_losses = self.platform.store_losses.saturating_sub(1);
                let delay = self.store_delay();
                if self.platform.store != Mode::Down {
                    self.at(delay, Happening::Stored(Box::new((*upload).clone())));
                }
                let event = match self.platform.store {
                    Mode::Down => failed,
                    _ if lost => failed,
                    _ => Event::Stored,
                };
                self.later_event(index, delay + MS, event);
            }
            Action::Swap { expected, row } => {
                self.inject_at(Step::SwapRow, Subject::default());
                self.table(swap(expected, row), Asker::Publisher(index));
            }
            Action::ReadBack(generation) => {
                self.table(Op::ReadBack(generation), Asker::Publisher(index));
            }
            Action::Wait(pause) => self.later_event(index, us(pause), Event::Waited),
            Action::Finish(outcome) => {
                self.publications[index].outcome = Some(*outcome);
                self.inject_at(Step::Published, Subject::default());
            }
        }
    }

    fn store_delay(&self) -> u64 {
        match self.platform.store {
            Mode::Up => 10 * MS,
            Mode::Slow => SLOW_WRITE,
            Mode::Down => CALL_TIMEOUT,
        }
    }

    fn later_event(&mut self, index: usize, delay: u64, event: Event) {
        self.at(delay, Happening::Publisher(index, Box::new(event)));
    }

    pub(crate) fn publisher_event(&mut self, index: usize, event: Event) {
        let now = Time(self.now);
        let publisher = &mut self.publications[index].publisher;
        let action = publisher.handle(event, now, &mut self.rng);
        self.publisher_action(index, action);
    }

    pub(crate) fn publisher_reply(&mut self, index: usize, reply: TableReply) {
        let lost = || "the table does not respond".to_owned();
        let event = match reply {
            TableReply::Row(Some((version, Value::Head(head)))) => {
                Event::Head(decision::publish::HeadRow { version, head })
            }
            TableReply::Row(_) => Event::Head(self.platform.head()),
            TableReply::Back(row, generation) => Event::ReadBack { row, generation },
            TableReply::Done(_) => Event::Swapped,
            TableReply::Failed(_) => Event::ConditionFailed,
            TableReply::Lost if self.publications[index].swaps => Event::ResponseLost(lost()),
            TableReply::Lost => Event::Failed(lost()),
        };
        self.publisher_event(index, event);
    }
}

fn us(pause: Duration) -> u64 {
    pause.as_micros() as u64
}

//! Operators who publish object sets, driven by [`decision::publish`].

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

use crate::inject::FaultTarget;
use crate::matrix::Step;
use crate::sample;
use crate::simulation::CALL_TIMEOUT;
use crate::simulation::MS;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::TableCaller;
use crate::storage::Availability;
use crate::storage::RowValue;
use crate::storage::RowWrite;
use crate::storage::Storage;
use crate::storage::TableOp;
use crate::storage::TableReply;

/// Time of a call while the object store is slow.
const SLOW_WRITE: u64 = 2_000 * MS;

#[derive(Debug)]
pub(crate) struct Publication {
    publisher: Publisher,
    /// Whether the pending action is a swap of the head.
    swap_pending: bool,
    /// The outcome; `None` while the publication is in progress.
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

fn swap_op(expected: u64, row: Box<GenerationRow>) -> TableOp {
    let head = RowWrite {
        key: HEAD_KEY.to_owned(),
        version: expected,
        value: RowValue::Head(row.head.clone()),
    };
    let generation = RowWrite {
        key: generation_key(row.head.generation),
        version: 0,
        value: RowValue::Generation(row),
    };
    TableOp::Tx(vec![head, generation])
}

/// Returns storage in which generation 1 was published without faults.
pub(crate) fn publish_base_set() -> Storage {
    let mut storage = Storage::default();
    let mut rng = fastrand::Rng::with_seed(0);
    let first = request("first", Head::default(), Arc::default(), sample::base_set());
    let (mut publisher, mut action) = Publisher::start(first, Time::default());
    loop {
        let event = match action {
            Action::ReadHead => Event::Head(storage.head()),
            Action::Fetch(head) => fetch_event(&storage, &head),
            Action::Store(upload) => {
                storage.store_upload(&upload);
                Event::Stored
            }
            Action::Swap { expected, row } => {
                storage.execute(&swap_op(expected, row));
                Event::Swapped
            }
            Action::Finish(_) => return storage,
            Action::ReadBack(_) | Action::Wait(_) => Event::Waited,
        };
        action = publisher.handle(event, Time::default(), &mut rng);
    }
}

fn fetch_event(storage: &Storage, head: &Head) -> Event {
    match storage.object_set(head) {
        Some((manifest, set)) => Event::Fetched {
            manifest: Box::new(manifest),
            set,
        },
        None => Event::Failed("no object set for this head".to_owned()),
    }
}

impl Simulation {
    /// Starts to publish a new version of the first adapter, based on generation 1.
    pub(crate) fn publish(&mut self, version: &'static str) {
        let base = self.storage.committed_heads[0].clone();
        let Some((_, before)) = self.storage.object_set(&base) else {
            return;
        };
        let set = sample::changed_set(&before, version);
        let start = request(version, base, before, set);
        let (publisher, action) = Publisher::start(start, Time(self.now));
        let index = self.publications.len();
        self.publications.push(Publication {
            publisher,
            swap_pending: false,
            outcome: None,
        });
        self.inject_at(Step::Validate, FaultTarget::default());
        self.perform_publisher_action(index, action);
    }

    fn perform_publisher_action(&mut self, index: usize, action: Action) {
        self.publications[index].swap_pending = matches!(action, Action::Swap { .. });
        match action {
            Action::ReadHead => self.call_table(
                TableOp::Read(HEAD_KEY.to_owned()),
                TableCaller::Publisher(index),
            ),
            Action::Fetch(head) => {
                let event = match self.storage.store_availability {
                    Availability::Down => {
                        Event::Failed("the object store does not respond".to_owned())
                    }
                    Availability::Up | Availability::Slow => fetch_event(&self.storage, &head),
                };
                self.schedule_publisher_event(index, self.store_delay(), event);
            }
            Action::Store(upload) => {
                self.inject_at(Step::WriteObject, FaultTarget::default());
                let failed = Event::Failed("the object store does not respond".to_owned());
                let lost = self.storage.lost_store_responses > 0;
                self.storage.lost_store_responses =
                    self.storage.lost_store_responses.saturating_sub(1);
                let delay = self.store_delay();
                if self.storage.store_availability != Availability::Down {
                    self.schedule(delay, SimEvent::ObjectsStored(Box::new((*upload).clone())));
                }
                let event = match self.storage.store_availability {
                    Availability::Down => failed,
                    _ if lost => failed,
                    _ => Event::Stored,
                };
                self.schedule_publisher_event(index, delay + MS, event);
            }
            Action::Swap { expected, row } => {
                self.inject_at(Step::SwapRow, FaultTarget::default());
                self.call_table(swap_op(expected, row), TableCaller::Publisher(index));
            }
            Action::ReadBack(generation) => {
                self.call_table(TableOp::ReadBack(generation), TableCaller::Publisher(index));
            }
            Action::Wait(pause) => {
                self.schedule_publisher_event(index, as_us(pause), Event::Waited)
            }
            Action::Finish(outcome) => {
                self.publications[index].outcome = Some(*outcome);
                self.inject_at(Step::PublishAnswer, FaultTarget::default());
            }
        }
    }

    fn store_delay(&self) -> u64 {
        match self.storage.store_availability {
            Availability::Up => 10 * MS,
            Availability::Slow => SLOW_WRITE,
            Availability::Down => CALL_TIMEOUT,
        }
    }

    fn schedule_publisher_event(&mut self, index: usize, delay: u64, event: Event) {
        self.schedule(delay, SimEvent::Publisher(index, Box::new(event)));
    }

    pub(crate) fn on_publisher_event(&mut self, index: usize, event: Event) {
        let now = Time(self.now);
        let publisher = &mut self.publications[index].publisher;
        let action = publisher.handle(event, now, &mut self.rng);
        self.perform_publisher_action(index, action);
    }

    pub(crate) fn on_publisher_reply(&mut self, index: usize, reply: TableReply) {
        let no_response = || "the table does not respond".to_owned();
        let event = match reply {
            TableReply::Row(Some((version, RowValue::Head(head)))) => {
                Event::Head(decision::publish::HeadRow { version, head })
            }
            TableReply::Row(_) => Event::Head(self.storage.head()),
            TableReply::ReadBack(row, generation) => Event::ReadBack { row, generation },
            TableReply::Committed(_) => Event::Swapped,
            TableReply::Conflict(_) => Event::Conflict,
            TableReply::NoResponse if self.publications[index].swap_pending => {
                Event::Unknown(no_response())
            }
            TableReply::NoResponse => Event::Failed(no_response()),
        };
        self.on_publisher_event(index, event);
    }
}

fn as_us(pause: Duration) -> u64 {
    pause.as_micros() as u64
}

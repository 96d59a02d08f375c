//! The requests that this entry remembers, for `GET /v1/requests/{id}` and the dump.

use std::collections::VecDeque;

use decision::collections::Map;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::problem::Problem;
use decision::time::Time;
use serde::Serialize;

/// Requests that are remembered.
const MAX_RECORDS: usize = 8_192;

/// The state of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum State {
    /// It has not been answered yet.
    InProgress,
    /// It was answered in full.
    Done {
        /// The receipt as JSON.
        #[serde(skip)]
        receipt: String,
    },
    /// It was answered with an error.
    Failed(Problem),
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: RequestId,
    pub(crate) route: Name,
    pub(crate) arrived: Time,
    pub(crate) claimed: bool,
    pub(crate) state: State,
}

/// The key of a record: the workspace, and the identifier that the caller knows.
type Key = (Name, String);

/// The last requests.
#[derive(Debug, Default)]
pub(crate) struct Records {
    map: Map<Key, Record>,
    order: VecDeque<Key>,
}

impl Records {
    /// Adds a request; the oldest is forgotten if there are too many.
    pub(crate) fn insert(&mut self, workspace: Name, id: String, record: Record) {
        if self.order.len() >= MAX_RECORDS
            && let Some(old) = self.order.pop_front()
        {
            self.map.remove(&old);
        }
        let key = (workspace, id);
        if self.map.insert(key.clone(), record).is_none() {
            self.order.push_back(key);
        }
    }

    /// Sets the state of a request unless a later one took over its identifier.
    pub(crate) fn set(&mut self, workspace: &Name, id: &str, request: RequestId, state: State) {
        let key = (workspace.clone(), id.to_owned());
        if let Some(record) = self.map.get_mut(&key)
            && record.request == request
        {
            record.state = state;
        }
    }

    /// Returns a request of a workspace.
    pub(crate) fn get(&self, workspace: &Name, id: &str) -> Option<&Record> {
        self.map.get(&(workspace.clone(), id.to_owned()))
    }

    /// Returns the claimed requests in progress, with workspace and identifier.
    pub(crate) fn claims(&self) -> impl Iterator<Item = (&Key, &Record)> {
        let open = |record: &Record| matches!(record.state, State::InProgress);
        self.map
            .iter()
            .filter(move |(_, record)| record.claimed && open(record))
    }
}

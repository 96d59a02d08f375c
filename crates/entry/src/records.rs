//! Records of recent requests for `GET /v1/requests/{id}` and the dump.

use std::collections::VecDeque;

use decision::collections::Map;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::problem::Problem;
use decision::time::Time;
use serde::Serialize;

/// Maximum number of records; the oldest is dropped first.
const MAX_RECORDS: usize = 8_192;

#[derive(Clone, Debug, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum RequestState {
    /// No response has been sent in full yet.
    InProgress,
    /// The complete response was sent.
    Done {
        /// Receipt as JSON; empty if a replayed response has none.
        #[serde(skip)]
        receipt: String,
    },
    /// An error was sent, or the caller of a repeatable request disconnected.
    Failed(Problem),
}

#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) request: RequestId,
    pub(crate) route: Name,
    pub(crate) arrived: Time,
    pub(crate) claimed: bool,
    pub(crate) state: RequestState,
}

/// Key of a record: workspace and caller-visible request identifier.
type RecordKey = (Name, String);

/// The most recent requests, at most [`MAX_RECORDS`].
#[derive(Debug, Default)]
pub(crate) struct RequestRecords {
    map: Map<RecordKey, RequestRecord>,
    order: VecDeque<RecordKey>,
}

impl RequestRecords {
    /// Adds a request, and drops the oldest one if the limit is reached. A request replaces an
    /// earlier one with the same key.
    pub(crate) fn insert(&mut self, workspace: Name, id: String, record: RequestRecord) {
        if self.order.len() >= MAX_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.map.remove(&oldest);
        }
        let key = (workspace, id);
        if self.map.insert(key.clone(), record).is_none() {
            self.order.push_back(key);
        }
    }

    /// Sets the state of a request unless a later request has replaced its record.
    pub(crate) fn set_state(
        &mut self,
        workspace: &Name,
        id: &str,
        request: RequestId,
        state: RequestState,
    ) {
        let key = (workspace.clone(), id.to_owned());
        if let Some(record) = self.map.get_mut(&key)
            && record.request == request
        {
            record.state = state;
        }
    }

    /// Returns the record of a request, if it is still kept.
    pub(crate) fn get(&self, workspace: &Name, id: &str) -> Option<&RequestRecord> {
        self.map.get(&(workspace.clone(), id.to_owned()))
    }

    /// Returns the non-repeatable requests in progress, in no particular order.
    pub(crate) fn claims_in_progress(&self) -> impl Iterator<Item = (&RecordKey, &RequestRecord)> {
        let open = |record: &RequestRecord| matches!(record.state, RequestState::InProgress);
        self.map
            .iter()
            .filter(move |(_, record)| record.claimed && open(record))
    }
}

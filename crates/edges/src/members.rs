//! The platform's instance membership list.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::EdgeResult;
use crate::http::Call;
use crate::http::Client;

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent beside an endpoint.
    Agent,
}

/// The state of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// The instance is live.
    Live,
    /// The instance is leaving.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance; an agent's is the name of its endpoint.
    pub name: String,
    /// The role.
    pub role: Role,
    /// The state.
    pub state: Liveness,
    /// The peer address.
    pub peer: SocketAddr,
    /// The region.
    pub region: String,
    /// The failure domain.
    pub domain: String,
}

/// The changes of the list since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The version after these changes.
    pub version: u64,
    /// Whether `changed` is the whole list rather than a difference.
    pub whole: bool,
    /// New and changed instances.
    pub changed: Vec<Instance>,
    /// Names of instances that are gone.
    pub gone: Vec<String>,
}

/// The membership list.
pub trait Members: Send + Sync {
    /// Returns the changes since version `since`; 0 asks for the whole list.
    fn changes(&self, since: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<Changes>>;
}

/// The largest list, in bytes.
const LIST_LIMIT: usize = 16 << 20;

/// The client of a membership list that speaks JSON over HTTP: `GET /instances?since=V` returns
/// [`Changes`].
#[derive(Clone, Debug)]
pub struct HttpMembers {
    client: Client,
}

impl HttpMembers {
    /// Creates a client of the membership list at `addr`.
    pub fn new(addr: SocketAddr) -> HttpMembers {
        HttpMembers {
            client: Client::new(addr),
        }
    }
}

impl Members for HttpMembers {
    fn changes(&self, since: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<Changes>> {
        let call = Call::get("read membership", format!("/instances?since={since}"));
        self.client.fetch(call, LIST_LIMIT, timeout).boxed()
    }
}

//! The interface of the membership list of instances, and its HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

pub use decision::member::Instance;
pub use decision::member::Liveness;
pub use decision::member::MemberChanges;
pub use decision::member::Role;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::EdgeResult;
use crate::http::Call;
use crate::http::Client;

/// The membership list of all instances.
pub trait Members: Send + Sync {
    /// Returns the changes since version `since` of the list, or the complete list if `since` is 0.
    fn changes(&self, since: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<MemberChanges>>;
}

/// The largest response of the membership list.
const MAX_LIST_BYTES: usize = 16 << 20;

/// The client of a membership list with JSON over HTTP: `GET /instances?since=V` returns
/// [`MemberChanges`].
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
    fn changes(&self, since: u64, timeout: Duration) -> BoxFuture<'_, EdgeResult<MemberChanges>> {
        let call = Call::get("read membership", format!("/instances?since={since}"));
        self.client.fetch(call, MAX_LIST_BYTES, timeout).boxed()
    }
}

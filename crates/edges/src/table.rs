//! The interface of the transactional table service, and its HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::EdgeResult;
use crate::ErrorKind;
use crate::http::Call;
use crate::http::Client;
use crate::http::encode_segment;
use crate::http::json;

/// A row with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key, unique in the table.
    pub key: String,
    /// The version: at least 1, and increased by each write.
    pub version: u64,
    /// The value, sent as base64.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
}

/// A condition on the version of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have, or 0 if the row must not exist.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value; `None` deletes the row. Sent as base64.
    #[serde(with = "base64_option")]
    pub value: Option<Bytes>,
}

/// A transaction. All writes take effect if all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, which must all hold when the writes take effect.
    pub conditions: Vec<Condition>,
    /// The writes, which take effect together.
    pub writes: Vec<Write>,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// All writes took effect. Holds the new versions in the order of the writes.
    Committed(Vec<u64>),
    /// No write took effect. Holds the keys whose conditions did not hold.
    Conflict(Vec<String>),
}

/// A table service with conditional transactions.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if it does not exist.
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Row>>>;

    /// Lists the rows whose keys start with `prefix`, sorted by key.
    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<Row>>>;

    /// Commits a transaction. It may have taken effect even if the call fails, see
    /// [`EdgeError::had_no_effect`](crate::EdgeError::had_no_effect).
    fn commit(&self, tx: Transaction, timeout: Duration)
    -> BoxFuture<'_, EdgeResult<CommitResult>>;
}

/// The largest response of the table service.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The client of a table service with JSON over HTTP.
///
/// `GET /rows/{key}` returns `{key, version, value}` or 404. `GET /rows?prefix=` returns
/// `{rows: [..]}`. `POST /tx` takes `{conditions: [{key, version}], writes: [{key, value}]}` and
/// returns `{versions: [..]}`, or 409 with `{failed: [key, ..]}`. Values are base64.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: Client,
}

impl HttpTable {
    /// Creates a client of the table service at `addr`.
    pub fn new(addr: SocketAddr) -> HttpTable {
        HttpTable {
            client: Client::new(addr),
        }
    }
}

impl Table for HttpTable {
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Row>>> {
        let call = Call::get("read row", format!("/rows/{}", encode_segment(key)));
        self.client
            .fetch_optional(call, MAX_RESPONSE_BYTES, timeout)
            .boxed()
    }

    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<Row>>> {
        let call = Call::get(
            "list rows",
            format!("/rows?prefix={}", encode_segment(prefix)),
        );
        async move {
            let list: RowList = self.client.fetch(call, MAX_RESPONSE_BYTES, timeout).await?;
            Ok(list.rows)
        }
        .boxed()
    }

    fn commit(
        &self,
        tx: Transaction,
        timeout: Duration,
    ) -> BoxFuture<'_, EdgeResult<CommitResult>> {
        let operation = "commit transaction";
        let call = Call::post(operation, "/tx", json(&tx));
        async move {
            let reply = self
                .client
                .exchange(call, MAX_RESPONSE_BYTES, timeout)
                .await?;
            if reply.status == StatusCode::CONFLICT {
                let conflict: ConflictReply = self.client.parse(operation, &reply)?;
                return Ok(CommitResult::Conflict(conflict.failed));
            }
            let committed: CommitReply = self.client.decode(operation, &reply)?;
            if committed.versions.len() != tx.writes.len() {
                let text = "number of versions differs from number of writes".to_owned();
                return Err(self.client.error(operation, ErrorKind::Malformed(text)));
            }
            Ok(CommitResult::Committed(committed.versions))
        }
        .boxed()
    }
}

/// The response to `GET /rows?prefix=`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RowList {
    /// The rows, sorted by key.
    pub rows: Vec<Row>,
}

/// The response to a committed transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommitReply {
    /// The new versions in the order of the writes.
    pub versions: Vec<u64>,
}

/// The response to a transaction whose conditions do not all hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConflictReply {
    /// The keys whose conditions do not hold.
    pub failed: Vec<String>,
}

mod base64_bytes {
    use base64::Engine as _;
    use base64::prelude::BASE64_STANDARD;
    use bytes::Bytes;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error as _;

    pub(super) fn serialize<S: Serializer>(data: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&BASE64_STANDARD.encode(data))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(from)?;
        BASE64_STANDARD
            .decode(text)
            .map(Bytes::from)
            .map_err(D::Error::custom)
    }
}

mod base64_option {
    use bytes::Bytes;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    #[derive(Serialize, Deserialize)]
    struct Encoded(#[serde(with = "super::base64_bytes")] Bytes);

    pub(super) fn serialize<S: Serializer>(data: &Option<Bytes>, to: S) -> Result<S::Ok, S::Error> {
        data.clone().map(Encoded).serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<Bytes>, D::Error> {
        let data = Option::<Encoded>::deserialize(from)?;
        Ok(data.map(|d| d.0))
    }
}

//! The platform's transactional table service.

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

/// One row with the version that the table gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version, from 1, raised by each write.
    pub version: u64,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
}

/// A condition on one row's version; 0 means that the row must not exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that the row must have.
    pub version: u64,
}

/// A write of one row; `None` deletes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    #[serde(with = "base64_option")]
    pub value: Option<Bytes>,
}

/// A transaction: all writes happen if all conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// All writes took effect; the new versions in the order of the writes.
    Committed(Vec<u64>),
    /// No write took effect; the keys whose condition did not hold.
    Conflict(Vec<String>),
}

/// The table service.
pub trait Table: Send + Sync {
    /// Reads one row.
    fn get(&self, key: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Option<Row>>>;

    /// Lists the rows whose key starts with `prefix`, in order of key.
    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<Row>>>;

    /// Commits a transaction.
    fn commit(&self, tx: Transaction, timeout: Duration)
    -> BoxFuture<'_, EdgeResult<CommitResult>>;
}

/// The largest response of the table service, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// The client of a table service that speaks JSON over HTTP.
///
/// `GET /rows/{key}` returns `{key, version, value}` or 404; `GET /rows?prefix=` returns
/// `{rows: [..]}`; `POST /tx` takes `{conditions: [{key, version}], writes: [{key, value}]}` and
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
            .fetch_optional(call, ANSWER_LIMIT, timeout)
            .boxed()
    }

    fn list(&self, prefix: &str, timeout: Duration) -> BoxFuture<'_, EdgeResult<Vec<Row>>> {
        let call = Call::get(
            "list rows",
            format!("/rows?prefix={}", encode_segment(prefix)),
        );
        async move {
            let list: RowList = self.client.fetch(call, ANSWER_LIMIT, timeout).await?;
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
            let reply = self.client.exchange(call, ANSWER_LIMIT, timeout).await?;
            if reply.status == StatusCode::CONFLICT {
                let conflict: ConflictReply = self.client.parse(operation, &reply)?;
                return Ok(CommitResult::Conflict(conflict.failed));
            }
            let done: CommitReply = self.client.decode(operation, &reply)?;
            if done.versions.len() != tx.writes.len() {
                let text = "not one version per write".to_owned();
                return Err(self.client.error(operation, ErrorKind::Malformed(text)));
            }
            Ok(CommitResult::Committed(done.versions))
        }
        .boxed()
    }
}

/// The response to a list of rows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RowList {
    /// The rows in order of key.
    pub rows: Vec<Row>,
}

/// The response to a committed transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommitReply {
    /// The new versions in the order of the writes.
    pub versions: Vec<u64>,
}

/// The response to a transaction with a condition that does not hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConflictReply {
    /// The keys whose condition does not hold.
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

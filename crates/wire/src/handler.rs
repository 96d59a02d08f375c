//! The calls that a process handles for its peers, and the channel that carries a response.

use std::sync::Arc;

use bytes::Bytes;
use decision::ids::Attempt;
use decision::ids::Head;
use decision::ids::Incarnation;
use decision::ids::Name;
use decision::ids::RequestId;
use decision::job::End;
use decision::job::Job;
use decision::job::Outcome;
use decision::permit::Grant;
use decision::permit::PermitRequest;
use decision::report::Report;
use derive_more::Display;
use derive_more::Error;
use futures::future::BoxFuture;
use tokio::sync::mpsc;

/// What a process tells its peers about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of the process, which changes with every start.
    pub incarnation: Incarnation,
}

/// One event of a response: `Begin`, then any number of `Chunk`s, then `End`.
///
/// An attempt that produced no response has only an `End`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEvent {
    /// Status and content type of the response.
    Begin {
        /// HTTP status code.
        status: u16,
        /// Value of the `content-type` header.
        content_type: String,
    },
    /// Next part of the body.
    Chunk(Bytes),
    /// End of the attempt; no event follows.
    End(Box<End>),
}

/// Handles the calls that peers make to a process.
///
/// All methods run on an RPC thread and must not block.
pub trait Handler: Send + Sync + 'static {
    /// Records the head of the peer named `from` and returns the head in force here.
    fn exchange_heads(&self, from: &str, head: Head) -> Head;

    /// Returns the manifest or bucket with this digest, if this process has it.
    fn blob(&self, digest: &str) -> Option<Bytes>;

    /// Accepts a job. Its response and its end are sent to `sink`; dropping `sink` without an end
    /// tells the peer that there is no complete response.
    fn dispatch(&self, job: Job, body: Bytes, sink: ResponseSink);

    /// Returns the outcome of an attempt. One that was never received is recorded as refused first,
    /// so that it cannot run later.
    fn settle(&self, request: RequestId, attempt: Attempt) -> Outcome;

    /// Cancels an attempt whose caller has disconnected.
    fn cancel(&self, request: RequestId, attempt: Attempt);

    /// Returns the load report if its sequence number is above `seen`.
    fn report(&self, seen: u64) -> Option<Report>;

    /// Requests a load permit from this process as the permit coordinator; `None` if it does not
    /// grant permits, as an entry.
    fn request_permit(&self, request: PermitRequest) -> BoxFuture<'static, Option<Grant>>;

    /// Returns the load permit `id` to this process as the permit coordinator.
    fn release_permit(&self, id: u64);

    /// Returns the state of the process as JSON.
    fn dump(&self) -> String;
}

/// The receiver of a response was dropped, or its connection was lost.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the receiver of the response was dropped")]
pub struct SinkClosed;

/// The sending side of a response. If all clones are dropped before an end is sent, the receiver's
/// channel closes without an end, which means that the response is incomplete.
#[derive(Clone, Debug)]
pub struct ResponseSink {
    sender: Arc<mpsc::Sender<ResponseEvent>>,
}

/// Number of response events that are buffered for a slow receiver before the sender has to wait.
pub(crate) const SINK_CAPACITY: usize = 64;

impl ResponseSink {
    /// Creates a sink and its receiver. Public for tests and for use within a process.
    pub fn channel() -> (ResponseSink, mpsc::Receiver<ResponseEvent>) {
        let (sender, receiver) = mpsc::channel(SINK_CAPACITY);
        (
            ResponseSink {
                sender: Arc::new(sender),
            },
            receiver,
        )
    }

    /// Sends the status and the content type of the response.
    pub async fn begin(&self, status: u16, content_type: &str) -> Result<(), SinkClosed> {
        self.send(ResponseEvent::Begin {
            status,
            content_type: content_type.to_owned(),
        })
        .await
    }

    /// Sends the next part of the body; waits while the buffer is full.
    pub async fn chunk(&self, data: Bytes) -> Result<(), SinkClosed> {
        self.send(ResponseEvent::Chunk(data)).await
    }

    /// Sends the end of the attempt, after which nothing else is to be sent.
    pub async fn end(&self, end: End) -> Result<(), SinkClosed> {
        self.send(ResponseEvent::End(Box::new(end))).await
    }

    /// Waits until the receiver is dropped. [`Server`](crate::Server) drops it when the end was sent
    /// to the peer or the connection is lost.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    async fn send(&self, event: ResponseEvent) -> Result<(), SinkClosed> {
        self.sender.send(event).await.map_err(|_| SinkClosed)
    }
}

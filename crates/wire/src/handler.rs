//! What a process offers to its peers, and the channel on which an answer travels.

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

/// Who a process is, as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The instance's name.
    pub name: Name,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// One event of an answer, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEvent {
    /// The head of the answer.
    Begin {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
    },
    /// The next piece of the body.
    Chunk(Bytes),
    /// The end of the attempt; nothing follows.
    End(Box<End>),
}

/// The calls that peers make to a process.
///
/// The synchronous calls run on an RPC thread and must not block.
pub trait Handler: Send + Sync + 'static {
    /// Takes note of the head of the peer named `from` and returns the head in force here.
    fn exchange_heads(&self, from: &str, head: Head) -> Head;

    /// Returns the manifest or bucket with this digest, if it is held.
    fn blob(&self, digest: &str) -> Option<Bytes>;

    /// Accepts a job; its answer and its end go to `sink`.
    fn dispatch(&self, job: Job, body: Bytes, sink: ResponseSink);

    /// Tells what became of an attempt; one never seen is recorded as refused first.
    fn settle(&self, request: RequestId, attempt: Attempt) -> Outcome;

    /// Cancels an attempt whose caller is gone.
    fn cancel(&self, request: RequestId, attempt: Attempt);

    /// Returns the load report if its number is above `seen`.
    fn report(&self, seen: u64) -> Option<Report>;

    /// Asks this process, as the permit coordinator, for a load permit.
    fn request_permit(&self, ask: PermitRequest) -> BoxFuture<'static, Option<Grant>>;

    /// Returns a load permit.
    fn release_permit(&self, id: u64);

    /// Returns the state of the process as JSON.
    fn dump(&self) -> String;
}

/// The receiver of an answer is gone.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the receiver of the answer is gone")]
pub struct SinkClosed;

/// The sending side of an answer. Dropping it without an end tells the receiver that the answer is
/// not whole.
#[derive(Clone, Debug)]
pub struct ResponseSink {
    sender: Arc<mpsc::Sender<ResponseEvent>>,
}

/// The number of answer events that wait for a slow receiver before the sender waits.
pub(crate) const SINK_EVENTS: usize = 64;

impl ResponseSink {
    /// Returns a sink and its receiving side, also for tests and in-process use.
    pub fn channel() -> (ResponseSink, mpsc::Receiver<ResponseEvent>) {
        let (sender, receiver) = mpsc::channel(SINK_EVENTS);
        (
            ResponseSink {
                sender: Arc::new(sender),
            },
            receiver,
        )
    }

    /// Sends the head of the answer.
    pub async fn begin(&self, status: u16, content_type: &str) -> Result<(), SinkClosed> {
        self.send(ResponseEvent::Begin {
            status,
            content_type: content_type.to_owned(),
        })
        .await
    }

    /// Sends the next piece of the body; waits while the receiver is slow.
    pub async fn chunk(&self, data: Bytes) -> Result<(), SinkClosed> {
        self.send(ResponseEvent::Chunk(data)).await
    }

    /// Sends the end of the attempt.
    pub async fn end(&self, end: End) -> Result<(), SinkClosed> {
        self.send(ResponseEvent::End(Box::new(end))).await
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    async fn send(&self, event: ResponseEvent) -> Result<(), SinkClosed> {
        self.sender.send(event).await.map_err(|_| SinkClosed)
    }
}

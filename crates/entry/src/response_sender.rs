//! Channel that carries a response from the driver to the HTTP handler.

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use viz::Response;

/// Chunks of a stream that are queued for a slow caller before the relay blocks.
const CHUNK_QUEUE_LEN: usize = 16;

/// First message of a response; the chunks of a stream follow on its channel.
pub(crate) enum ResponseStart {
    Complete(Response),
    /// A response whose body is streamed.
    Stream {
        status: u16,
        content_type: String,
        /// Chunks of the body; the channel closes at its end.
        chunks: mpsc::Receiver<Bytes>,
    },
}

/// Sending side. Dropping it before the response starts tells the receiver that the request failed.
pub(crate) struct ResponseSender {
    start: Option<oneshot::Sender<ResponseStart>>,
    body: Option<mpsc::Sender<Bytes>>,
}

impl ResponseSender {
    pub(crate) fn new() -> (ResponseSender, oneshot::Receiver<ResponseStart>) {
        let (start, receiver) = oneshot::channel();
        let sender = ResponseSender {
            start: Some(start),
            body: None,
        };
        (sender, receiver)
    }

    /// Returns whether a stream has started.
    pub(crate) fn is_streaming(&self) -> bool {
        self.body.is_some()
    }

    /// Sends a complete response; does nothing if the caller has disconnected.
    pub(crate) fn send_complete(&mut self, response: Response) {
        self.send_start(ResponseStart::Complete(response));
    }

    /// Starts a stream. Chunks are dropped if the caller has disconnected.
    pub(crate) fn start_stream(&mut self, status: u16, content_type: String) {
        let (body, chunks) = mpsc::channel(CHUNK_QUEUE_LEN);
        self.body = Some(body);
        self.send_start(ResponseStart::Stream {
            status,
            content_type,
            chunks,
        });
    }

    /// Sends a chunk of the stream, and waits while the queue is full. Does nothing if the caller
    /// has disconnected or if the chunk is empty.
    pub(crate) async fn send_chunk(&self, data: Bytes) {
        if let Some(body) = &self.body
            && !data.is_empty()
        {
            let _ = body.send(data).await;
        }
    }

    fn send_start(&mut self, start: ResponseStart) {
        if let Some(sender) = self.start.take() {
            let _ = sender.send(start);
        }
    }
}

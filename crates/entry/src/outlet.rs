//! The way of an answer to its caller.

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use viz::Response;

/// Pieces of a stream that wait for a slow caller before the relay waits.
const PIECES: usize = 16;

/// The head of an answer.
pub(crate) enum Head {
    /// The whole answer.
    Whole(Response),
    /// The start of a stream.
    Stream {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content: String,
        /// The pieces of the body.
        pieces: mpsc::Receiver<Bytes>,
    },
}

/// The sending side. Dropping it without a head tells the receiver that the request failed.
pub(crate) struct Outlet {
    head: Option<oneshot::Sender<Head>>,
    body: Option<mpsc::Sender<Bytes>>,
}

impl Outlet {
    /// Returns an outlet and where its answer arrives.
    pub(crate) fn new() -> (Outlet, oneshot::Receiver<Head>) {
        let (head, answer) = oneshot::channel();
        let outlet = Outlet {
            head: Some(head),
            body: None,
        };
        (outlet, answer)
    }

    /// Returns whether a stream was started.
    pub(crate) fn is_streaming(&self) -> bool {
        self.body.is_some()
    }

    /// Sends a whole answer. The caller may be gone.
    pub(crate) fn whole(&mut self, response: Response) {
        self.send_head(Head::Whole(response));
    }

    /// Starts a stream. The caller may be gone.
    pub(crate) fn start(&mut self, status: u16, content: String) {
        let (sender, pieces) = mpsc::channel(PIECES);
        self.body = Some(sender);
        self.send_head(Head::Stream {
            status,
            content,
            pieces,
        });
    }

    /// Sends a piece of the stream; waits while the caller is slow. The caller may be gone.
    pub(crate) async fn send(&self, data: Bytes) {
        if let Some(body) = &self.body
            && !data.is_empty()
        {
            let _ = body.send(data).await;
        }
    }

    fn send_head(&mut self, head: Head) {
        if let Some(sender) = self.head.take() {
            let _ = sender.send(head);
        }
    }
}

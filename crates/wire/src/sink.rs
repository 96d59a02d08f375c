//! The receiving side of one response.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::codec;
use crate::handler::ResponseEvent;
use crate::wire_capnp::sink;

/// Receives one response and checks that its chunks arrive in order and without gaps.
pub(crate) struct SinkServer {
    sender: RefCell<Option<mpsc::Sender<ResponseEvent>>>,
    next_seq: Cell<u64>,
}

impl SinkServer {
    /// Creates the receiving side of a response; its events are sent to `sender`.
    pub(crate) fn new(sender: mpsc::Sender<ResponseEvent>) -> SinkServer {
        SinkServer {
            sender: RefCell::new(Some(sender)),
            next_seq: Cell::new(0),
        }
    }

    fn forward(&self, event: ResponseEvent) -> impl Future<Output = capnp::Result<()>> + use<> {
        let sender = self.sender.borrow().clone();
        async move {
            let Some(sender) = sender else {
                return Err(capnp::Error::failed("the response is closed".to_owned()));
            };
            let closed = |_| capnp::Error::failed("the receiver was dropped".to_owned());
            sender.send(event).await.map_err(closed)
        }
    }

    /// Closes the response without an end, so that the receiver does not take it for complete.
    fn close(&self, reason: String) -> capnp::Error {
        self.sender.borrow_mut().take();
        capnp::Error::failed(reason)
    }
}

impl sink::Server for SinkServer {
    async fn begin(self: Rc<Self>, params: sink::BeginParams) -> capnp::Result<()> {
        let params = params.get()?;
        let content_type = params.get_content_type()?.to_string()?;
        self.forward(ResponseEvent::Begin {
            status: params.get_status(),
            content_type,
        })
        .await
    }

    async fn chunk(self: Rc<Self>, params: sink::ChunkParams) -> capnp::Result<()> {
        let params = params.get()?;
        let (seq, expected) = (params.get_seq(), self.next_seq.get());
        if seq < expected {
            return Ok(());
        }
        if seq > expected {
            return Err(self.close(format!("received chunk {seq}, expected {expected}")));
        }
        self.next_seq.set(expected + 1);
        let data = Bytes::copy_from_slice(params.get_data()?);
        self.forward(ResponseEvent::Chunk(data)).await
    }

    async fn end(
        self: Rc<Self>,
        params: sink::EndParams,
        _: sink::EndResults,
    ) -> capnp::Result<()> {
        let end: decision::job::End = codec::from_json(params.get()?.get_end()?)?;
        if end.chunks != self.next_seq.get() {
            let received = self.next_seq.get();
            return Err(self.close(format!("received {received} of {} chunks", end.chunks)));
        }
        let sent = self.forward(ResponseEvent::End(Box::new(end))).await;
        self.sender.borrow_mut().take();
        sent
    }
}

//! The receiving side of one answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::codec;
use crate::handler::ResponseEvent;
use crate::wire_capnp::sink;

/// Receives one answer and checks its order.
pub(crate) struct SinkServer {
    sender: RefCell<Option<mpsc::Sender<ResponseEvent>>>,
    next: Cell<u64>,
}

impl SinkServer {
    /// Returns the receiving side of an answer whose events go to `sender`.
    pub(crate) fn new(sender: mpsc::Sender<ResponseEvent>) -> SinkServer {
        SinkServer {
            sender: RefCell::new(Some(sender)),
            next: Cell::new(0),
        }
    }

    fn forward(&self, event: ResponseEvent) -> impl Future<Output = capnp::Result<()>> + use<> {
        let sender = self.sender.borrow().clone();
        async move {
            let Some(sender) = sender else {
                return Err(capnp::Error::failed("the answer is closed".to_owned()));
            };
            let closed = |_| capnp::Error::failed("the receiver is gone".to_owned());
            sender.send(event).await.map_err(closed)
        }
    }

    /// Closes the answer without an end, so that the receiver cannot take it for whole.
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
        let (seq, next) = (params.get_seq(), self.next.get());
        if seq < next {
            return Ok(());
        }
        if seq > next {
            return Err(self.close(format!("chunk {seq} arrived where {next} was due")));
        }
        self.next.set(next + 1);
        let data = Bytes::copy_from_slice(params.get_data()?);
        self.forward(ResponseEvent::Chunk(data)).await
    }

    async fn end(
        self: Rc<Self>,
        params: sink::EndParams,
        _: sink::EndResults,
    ) -> capnp::Result<()> {
        let end: decision::job::End = codec::from_json(params.get()?.get_end()?)?;
        if end.chunks != self.next.get() {
            let got = self.next.get();
            return Err(self.close(format!("{got} of {} chunks arrived", end.chunks)));
        }
        let sent = self.forward(ResponseEvent::End(Box::new(end))).await;
        self.sender.borrow_mut().take();
        sent
    }
}

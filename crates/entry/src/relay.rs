//! Relays the response of one attempt to the caller.

use bytes::Bytes;
use decision::claim::MAX_STORED_BODY_BYTES;
use decision::job::End;
use decision::job::Failure;
use decision::job::Outcome;
use decision::request::Event;
use decision::request::Request;
use decision::time::Time;
use process::Clock;
use wire::DispatchedAttempt;

use crate::response_sender::ResponseSender;
use crate::sse::split_done;

/// Content type of a stream of server-sent events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// The response of one attempt as far as it has arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relay {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    /// The collected body. Of a stream it holds only what is stored for a claimed request, up to
    /// one chunk past [`MAX_STORED_BODY_BYTES`].
    pub(crate) body: Vec<u8>,
    /// When the first chunk arrived.
    pub(crate) first_chunk_at: Option<Time>,
    /// Whether the relay is blocked because the caller reads more slowly than the agent sends.
    pub(crate) awaiting_caller: bool,
    /// Digest of the body as the agent sent it.
    pub(crate) digest: audit::Hasher,
    /// Largest body that is collected when the response is not a stream.
    max_body_bytes: usize,
}

impl Relay {
    pub(crate) fn new(max_body_bytes: usize) -> Self {
        Relay {
            max_body_bytes,
            ..Relay::default()
        }
    }

    /// Relays the response until the attempt ends, the link is lost or the body is too large.
    pub(crate) async fn run(
        &mut self,
        dispatched: &mut DispatchedAttempt,
        response: &mut ResponseSender,
        request: &mut Request,
        clock: Clock,
    ) -> Event {
        loop {
            match dispatched.next().await {
                Some(wire::ResponseEvent::Begin {
                    status,
                    content_type,
                }) => {
                    self.status = status;
                    self.content_type = content_type;
                }
                Some(wire::ResponseEvent::Chunk(data)) => {
                    self.first_chunk_at.get_or_insert_with(|| clock.now());
                    self.digest.update(&data);
                    if self.is_stream(request) {
                        self.forward(data, response, request).await;
                    } else if !self.collect(&data) {
                        return Event::Ended(Box::new(oversized_end(request)));
                    }
                }
                Some(wire::ResponseEvent::End(end)) => return Event::Ended(end),
                None => return Event::LinkLost { sent: true },
            }
        }
    }

    /// Returns whether the response is forwarded chunk by chunk.
    fn is_stream(&self, request: &Request) -> bool {
        request.spec().stream
            && self.status == 200
            && self.content_type.starts_with(EVENT_STREAM_TYPE)
    }

    async fn forward(&mut self, data: Bytes, response: &mut ResponseSender, request: &mut Request) {
        let (data, _) = split_done(data);
        if !response.is_streaming() {
            response.start_stream(self.status, self.content_type.clone());
            request.mark_response_started();
        }
        if request.claim().is_some() && self.body.len() <= MAX_STORED_BODY_BYTES {
            self.body.extend_from_slice(&data);
        }
        self.awaiting_caller = true;
        response.send_chunk(data).await;
        self.awaiting_caller = false;
    }

    /// Appends `data` to the body; returns `false` if it would exceed the limit.
    fn collect(&mut self, data: &[u8]) -> bool {
        if self.body.len() + data.len() > self.max_body_bytes {
            return false;
        }
        self.body.extend_from_slice(data);
        true
    }
}

/// Returns the end of an attempt whose response exceeds the limit.
fn oversized_end(request: &Request) -> End {
    let pick = request.pick();
    End {
        outcome: Outcome::Ran,
        failure: Some(Failure::Truncated),
        incarnation: pick.map_or(decision::ids::Incarnation(0), |pick| pick.incarnation),
        endpoint: pick.map_or_else(|| "".into(), |pick| pick.name.clone()),
        stall: std::time::Duration::ZERO,
        chunks: 0,
        after: None,
    }
}

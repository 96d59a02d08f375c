//! Passes one attempt's answer on to the caller.

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

use crate::outlet::Outlet;
use crate::sse::split_done;

/// The content type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

/// One attempt's answer so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relay {
    pub(crate) status: u16,
    pub(crate) content: String,
    /// The body; of a stream only what may be stored.
    pub(crate) body: Vec<u8>,
    /// When the first piece arrived.
    pub(crate) first: Option<Time>,
    /// Whether the caller is slower than the agent at this moment.
    pub(crate) blocked: bool,
    /// The digest of the body as the agent sent it.
    pub(crate) digest: audit::Hasher,
    /// The largest body that is collected, in bytes.
    limit: usize,
}

impl Relay {
    pub(crate) fn new(limit: usize) -> Self {
        Relay {
            limit,
            ..Relay::default()
        }
    }

    /// Relays until the attempt ends or the link is lost.
    pub(crate) async fn run(
        &mut self,
        flight: &mut DispatchedAttempt,
        outlet: &mut Outlet,
        request: &mut Request,
        clock: Clock,
    ) -> Event {
        loop {
            match flight.next().await {
                Some(wire::ResponseEvent::Begin {
                    status,
                    content_type,
                }) => {
                    self.status = status;
                    self.content = content_type;
                }
                Some(wire::ResponseEvent::Chunk(data)) => {
                    self.first.get_or_insert_with(|| clock.now());
                    self.digest.update(&data);
                    if self.is_stream(request) {
                        self.pass(data, outlet, request).await;
                    } else if !self.collect(&data) {
                        return Event::Ended(Box::new(oversized(request)));
                    }
                }
                Some(wire::ResponseEvent::End(end)) => return Event::Ended(end),
                None => return Event::LinkLost { sent: true },
            }
        }
    }

    /// Returns whether the answer is passed on piece by piece.
    fn is_stream(&self, request: &Request) -> bool {
        request.spec().stream && self.status == 200 && self.content.starts_with(EVENT_STREAM)
    }

    async fn pass(&mut self, data: Bytes, outlet: &mut Outlet, request: &mut Request) {
        let (data, _) = split_done(data);
        if !outlet.is_streaming() {
            outlet.start(self.status, self.content.clone());
            request.mark_response_started();
        }
        if request.claim().is_some() && self.body.len() <= MAX_STORED_BODY_BYTES {
            self.body.extend_from_slice(&data);
        }
        self.blocked = true;
        outlet.send(data).await;
        self.blocked = false;
    }

    /// Returns whether the body is still within its limit.
    fn collect(&mut self, data: &[u8]) -> bool {
        if self.body.len() + data.len() > self.limit {
            return false;
        }
        self.body.extend_from_slice(data);
        true
    }
}

/// Returns the end of an answer that is larger than the entry collects.
fn oversized(request: &Request) -> End {
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

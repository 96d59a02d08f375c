//! Requests that the entry answers before it has read their bodies.
//!
//! A caller that is still sending may lose the answer, or its next request, if the connection is closed then. So
//! the rest of the body is read and dropped first, and the connection is kept (RFC 9112, 9.3). Where that takes too
//! much, the answer says that the connection is closed, which is done in stages ([`::process::linger`]).
//!
//! Invariants: no more than one frame of the rest is in memory; [`MAX_BYTES`] and [`MAX_TIME`] bound what an answer
//! waits for; a caller that awaits permission to send its body gets the answer in its place (RFC 9110, 10.1.1); an
//! answer on a connection that is not kept says so.
//!
//! API boundary: [`UnreadBody`] wraps the body of each request; it is read with [`UnreadBody::data`], or the request is
//! answered with [`UnreadBody::answer`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::Version;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use platform::ingress::LocalResponse;
use spdlog::info;

use crate::caller_memory::ConnMemory;
use crate::dispatch::entry_response;
use crate::entry::Entry;
use crate::line_limits::LineCause;
use crate::request_body::BodyError;
use crate::server::Body;

/// The most bytes that are dropped before an answer.
const MAX_BYTES: u64 = 4 << 20;
/// The longest time for which an answer waits for the rest of a body.
const MAX_TIME: Duration = Duration::from_secs(1);

/// The part of a request's time limit that an answer waits, as a divisor.
const TIMEOUT_DIVISOR: u32 = 4;

/// Marks an answer that leaves the body of its request unread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyUnread;

/// The body of a request, as far as it is not read.
#[derive(Debug)]
pub(crate) struct UnreadBody {
    incoming: Incoming,
    /// What the connection of its caller holds.
    pub(crate) memory: Arc<ConnMemory>,
    progress: Progress,
    /// The longest time for which an answer waits for the rest.
    max_wait: Duration,
}

/// How far a body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The caller may not send it until it is asked for.
    Unasked,
    /// More may come.
    Reading,
    /// Nothing is left.
    Ended,
    /// It was not read within its time limit.
    Late,
    /// It can't be read further.
    Broken,
}

/// What becomes of the rest of a body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub(crate) enum Rest {
    /// It was read to its end.
    #[display("dropped")]
    Dropped,
    /// The caller has not been asked for it.
    #[display("not asked for")]
    Unasked,
    #[display("too long")]
    TooLong,
    #[display("not in time")]
    Late,
    #[display("broken off")]
    Broken,
    /// Others need the memory of the connection.
    #[display("evicted")]
    Evicted,
}

impl UnreadBody {
    /// Wraps the body that follows this head.
    pub(crate) fn new(head: &Parts, incoming: Incoming, memory: Arc<ConnMemory>) -> UnreadBody {
        memory.begin_request(incoming.is_end_stream());
        let progress = match awaits_permission(head) {
            true => Progress::Unasked,
            false => Progress::Reading,
        };
        UnreadBody {
            incoming,
            memory,
            progress,
            max_wait: MAX_TIME,
        }
    }

    /// Leaves a part of the caller's time limit, if it has one, for the way of the answer.
    pub(crate) fn bound_by(&mut self, timeout: Option<Duration>) {
        let share = timeout.map(|timeout| timeout / TIMEOUT_DIVISOR);
        self.max_wait = share.unwrap_or(MAX_TIME).min(MAX_TIME);
    }

    /// Returns whether nothing is left.
    pub(crate) fn is_end(&self) -> bool {
        self.progress == Progress::Ended || self.incoming.is_end_stream()
    }

    /// Returns how many bytes are left at least.
    pub(crate) fn min_length(&self) -> u64 {
        self.incoming.size_hint().lower()
    }

    /// Waits for the next part of the body, and asks the caller for it if that is due.
    pub(crate) async fn data(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.progress = Progress::Reading;
        while let Some(frame) = self.incoming.frame().await {
            let Ok(frame) = frame else {
                self.progress = Progress::Broken;
                return Some(Err(BodyError::Broken));
            };
            if let Ok(data) = frame.into_data() {
                return Some(Ok(data));
            }
        }
        self.progress = Progress::Ended;
        None
    }

    /// Records that the body did not come within its time limit, so that no answer waits for the rest.
    pub(crate) fn set_late(&mut self) {
        self.progress = Progress::Late;
    }

    /// Answers the request without running it, once the rest of its body is dropped or given up.
    pub(crate) async fn answer(
        mut self,
        entry: &Entry,
        response: LocalResponse,
        id: Option<&str>,
    ) -> Response<Body> {
        let mut answer = entry_response(entry, response, id);
        if self.is_end() {
            return answer;
        }
        let (started_at, mut bytes) = (entry.now(), 0);
        let rest = self.drop_rest(entry, &mut bytes).await;
        let took_ms = entry.now().since(started_at).as_millis() as u64;
        let (id, rest_text) = (id.unwrap_or_default(), rest.to_string());
        let rests = &entry.metrics.unread_bodies;
        rests.with_label_values(&[rest_text.as_str()]).inc();
        // The lines about requests beyond the limits of their tenants are bounded where these are refused.
        if !matches!(response, LocalResponse::OverQuota(_))
            && let Some(omitted) = entry.lines.admit(entry.now(), LineCause::Rest(rest))
        {
            info!("request answered before its body", kv: { id, rest = rest_text.as_str(), bytes, took_ms, omitted });
        }
        if rest != Rest::Dropped {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
            answer.extensions_mut().insert(BodyUnread);
        }
        answer
    }

    async fn drop_rest(&mut self, entry: &Entry, bytes: &mut u64) -> Rest {
        match self.progress {
            Progress::Unasked => return Rest::Unasked,
            Progress::Late => return Rest::Late,
            Progress::Broken => return Rest::Broken,
            Progress::Reading | Progress::Ended => {}
        }
        let (max_wait, memory) = (self.max_wait, self.memory.clone());
        tokio::select! {
            biased;
            rest = self.drop_data(bytes) => rest,
            () = memory.evicted() => Rest::Evicted,
            () = entry.requests_cut() => Rest::Late,
            () = tokio::time::sleep(max_wait) => Rest::Late,
        }
    }

    async fn drop_data(&mut self, bytes: &mut u64) -> Rest {
        while *bytes + self.min_length() <= MAX_BYTES {
            match self.data().await {
                Some(Ok(data)) => *bytes += data.len() as u64,
                Some(Err(_)) => return Rest::Broken,
                None => return Rest::Dropped,
            }
        }
        Rest::TooLong
    }
}

fn awaits_permission(head: &Parts) -> bool {
    let expected = head.headers.get(header::EXPECT).map(HeaderValue::as_bytes);
    let awaits = expected.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"));
    awaits && head.version > Version::HTTP_10
}

//! The rest of a stream: events go on as they arrive, and another runner goes on if one breaks off.
//!
//! Invariants: only whole events are passed on, in rising order; an answer that ends early ends with
//! an error, so that it never looks complete.

use std::time::Duration;

use bytes::Bytes;
use decision::time::Time;
use derive_more::Display;
use derive_more::Error;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use serving::attempt::NextStep;
use serving::attempt::Outcome;
use serving::events::EventSplitter;
use serving::fleet::HealthSignal;
use spdlog::info;
use tokio::time::timeout_at;

use crate::dispatch;
use crate::dispatch::Cause;
use crate::dispatch::Ended;
use crate::dispatch::Job;
use crate::front::Body;
use crate::run::Live;
use crate::run::Opened;
use crate::run::Run;

/// The silence after which another runner goes on with a stream, in multiples of the longest pause
/// that is on time.
const SILENCE_GAPS: f64 = 2.0;

/// A stream that ended before its last event.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the stream broke off")]
pub struct Broken;

struct Relay {
    job: Job,
    run: Option<Run>,
    body: Incoming,
    first: Bytes,
    events: EventSplitter,
    last: Time,
    closes: bool,
    broken: bool,
}

/// What came next from the runner.
enum Piece {
    Data(Bytes),
    End,
    Broken,
    Silent,
    TimeUp,
}

/// Returns the answer that passes a stream on.
pub fn response(job: Job, live: Live) -> Response<Body> {
    let Live {
        answer,
        run,
        body,
        first,
        events,
        closes,
    } = live;
    let last = job.entry.now();
    let relay = Relay {
        job,
        run: Some(run),
        body,
        first,
        events,
        last,
        closes,
        broken: false,
    };
    let frames = stream::unfold(relay, |relay| relay.next());
    dispatch::response(answer, StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, Broken>, Relay)> {
        if self.broken {
            return None;
        }
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return Some((Ok(Frame::data(first)), self));
        }
        loop {
            match self.read().await {
                Piece::Data(data) => {
                    let whole = self.events.push(&data);
                    if self.events.is_out_of_order() {
                        return Some((Err(self.give_up(Cause::Lost)), self));
                    }
                    if !whole.is_empty() {
                        self.last = self.job.entry.now();
                        return Some((Ok(Frame::data(whole)), self));
                    }
                }
                Piece::End => {
                    self.complete();
                    return None;
                }
                Piece::TimeUp => return Some((Err(self.give_up(Cause::TimeUp)), self)),
                Piece::Broken | Piece::Silent => {
                    if let Err(cause) = self.resume().await {
                        return Some((Err(self.give_up(cause)), self));
                    }
                    let first = std::mem::take(&mut self.first);
                    return Some((Ok(Frame::data(first)), self));
                }
            }
        }
    }

    async fn read(&mut self) -> Piece {
        let limit = self.silence_limit();
        let limit_at = self.job.entry.timer.instant(limit);
        match timeout_at(limit_at, self.body.frame()).await {
            Ok(Some(Ok(frame))) => Piece::Data(frame.into_data().unwrap_or_default()),
            Ok(None) if !self.events.has_partial_event() => Piece::End,
            Ok(None | Some(Err(_))) => Piece::Broken,
            Err(_) if limit >= self.job.deadline => Piece::TimeUp,
            Err(_) => Piece::Silent,
        }
    }

    fn silence_limit(&self) -> Time {
        let job = &self.job;
        let other = job.route.kind.is_repeatable() && job.attempts.only_runner().is_none();
        if !other {
            return job.deadline;
        }
        let silence: Duration = job.route.gap_goal.mul_f64(SILENCE_GAPS);
        self.last.after(silence).min(job.deadline)
    }

    /// Goes on at another runner after the last event that was passed on.
    async fn resume(&mut self) -> Result<(), Cause> {
        if let Some(run) = self.run.take() {
            run.finish(HealthSignal::Failed, false);
        }
        let Some(last) = self.events.last_id() else {
            return Err(Cause::Lost);
        };
        match self.job.next(Outcome::Unknown) {
            NextStep::TryOther => {}
            _ => return Err(Cause::Lost),
        }
        self.job.avoid_tried();
        match self.job.open(Some(last)).await {
            Ok(Opened::Live(live)) => {
                info!("stream resumed", kv: {
                    id = &*self.job.head.request.id, after = last, runner = live.run.runner()
                });
                self.job.entry.metrics.resumed.inc();
                self.adopt(*live, last)
            }
            Ok(Opened::Whole(..)) | Err(Ended::Failure(..)) => Err(Cause::Lost),
            Err(Ended::Refused(cause) | Ended::Unknown(cause)) => Err(cause),
        }
    }

    fn adopt(&mut self, live: Live, last: u64) -> Result<(), Cause> {
        if live.events.first_id().is_none_or(|first| first <= last) {
            return Err(Cause::Lost);
        }
        self.run = Some(live.run);
        self.body = live.body;
        self.first = live.first;
        self.events = live.events;
        self.closes = live.closes;
        self.last = self.job.entry.now();
        Ok(())
    }

    fn complete(&mut self) {
        let time = self.last.since(self.job.arrival);
        if let Some(run) = self.run.take() {
            run.finish(HealthSignal::Success(time), !self.closes);
        }
        self.job.done("served");
    }

    fn give_up(&mut self, cause: Cause) -> Broken {
        self.broken = true;
        if let Some(run) = self.run.take() {
            run.finish(HealthSignal::Neutral, false);
        }
        self.job.failed("broken off", cause);
        Broken
    }
}

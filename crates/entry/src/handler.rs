//! Handler of calls that peers make to an entry.

use std::sync::Arc;

use bytes::Bytes;
use decision::ids::Attempt;
use decision::ids::Head;
use decision::ids::RequestId;
use decision::job::Job;
use decision::job::Outcome;
use decision::permit::Grant;
use decision::permit::PermitRequest;
use decision::report::Report;
use futures::FutureExt;
use futures::future::BoxFuture;
use wire::Handler;
use wire::ResponseSink;

use crate::dump;
use crate::shared::Shared;

/// Serves configuration heads, blobs and dumps to peers. An entry runs no jobs and grants no
/// permits.
pub(crate) struct EntryHandler(pub(crate) Arc<Shared>);

impl Handler for EntryHandler {
    fn exchange_heads(&self, from: &str, head: Head) -> Head {
        self.0.adopter.exchange_heads(from, &head)
    }

    fn blob(&self, digest: &str) -> Option<Bytes> {
        self.0.adopter.blob(digest)
    }

    /// Drops the sink, which tells the sender that no response will follow.
    fn dispatch(&self, _: Job, _: Bytes, _: ResponseSink) {}

    fn settle(&self, _: RequestId, _: Attempt) -> Outcome {
        Outcome::Unknown
    }

    fn cancel(&self, _: RequestId, _: Attempt) {}

    fn report(&self, _: u64) -> Option<Report> {
        None
    }

    fn request_permit(&self, _: PermitRequest) -> BoxFuture<'static, Option<Grant>> {
        futures::future::ready(None).boxed()
    }

    fn release_permit(&self, _: u64) {}

    fn dump(&self) -> String {
        dump::state(&self.0)
    }
}

//! The audit records that the entry writes.

use audit::AttemptRecord;
use decision::ids::Incarnation;
use decision::job::End;
use decision::job::Outcome;
use decision::job::Refusal;
use decision::placement::Pick;
use decision::problem::Code;
use decision::problem::Problem;
use decision::problem::Ran;
use process::clock::unix_ms;

use crate::driver::Driver;

impl Driver {
    /// Records the end of an attempt.
    pub(crate) fn audit_end(&self, end: &End) {
        let mut record = self.attempt_record(end.outcome);
        record.endpoint = Some(end.endpoint.clone());
        record.incarnation = Some(end.incarnation);
        let complete = end.outcome == Outcome::Ran && end.failure.is_none();
        record.response_digest = complete.then(|| self.relay.digest.clone().finish());
        self.shared.audit.record(record);
    }

    /// Records an attempt whose end did not arrive; `sent` says whether the agent may have got it.
    pub(crate) fn audit_loss(&self, pick: &Pick, sent: bool) {
        let outcome = match sent {
            true => Outcome::Unknown,
            false => Outcome::NotRun(Refusal::EngineDown),
        };
        let mut record = self.attempt_record(outcome);
        record.endpoint = Some(pick.name.clone());
        record.incarnation = (pick.incarnation != Incarnation(0)).then_some(pick.incarnation);
        self.shared.audit.record(record);
    }

    /// Records that a stored response was replayed.
    pub(crate) fn audit_replay(&self, body: &[u8]) {
        let mut record = self.attempt_record(Outcome::Ran);
        record.replay = true;
        record.response_digest = Some(audit::digest(body));
        self.shared.audit.record(record);
    }

    /// Records a request that ended without an attempt by this entry, as attempt 0.
    pub(crate) fn audit_refusal(&self, problem: &Problem) {
        let reason = match problem.code {
            Code::DeadlineExceeded => Refusal::Deadline,
            Code::Cancelled => Refusal::Cancelled,
            _ => Refusal::Overloaded,
        };
        let outcome = match problem.ran {
            Ran::No => Outcome::NotRun(reason),
            Ran::Yes | Ran::Unknown => Outcome::Unknown,
        };
        let mut record = self.attempt_record(outcome);
        record.request = self.request.spec().request;
        record.attempt = 0;
        self.shared.audit.record(record);
    }

    fn attempt_record(&self, outcome: Outcome) -> AttemptRecord {
        let resolved = &self.request.spec().resolved;
        let body_digest = self.body_digest.get_or_init(|| audit::digest(&self.body));
        AttemptRecord {
            request: self.request.request_id(),
            attempt: self.request.attempt(),
            workspace: resolved.route.workspace.clone(),
            head: resolved.head.clone(),
            route: resolved.route.name.clone(),
            target: resolved.choice.target.clone(),
            endpoint: None,
            incarnation: None,
            claim: self.claim_row_key(),
            replay: false,
            outcome,
            start: self.attempt_start_ms,
            end: unix_ms(),
            request_digest: body_digest.clone(),
            response_digest: None,
        }
    }
}

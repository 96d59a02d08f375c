//! The agent's audit records: commands to the engine and ended attempts.

use audit::AttemptRecord;
use audit::CommandKind;
use audit::CommandRecord;
use decision::agent::CommandFault;
use decision::ids::Head;
use decision::ids::Name;
use decision::job::End;
use decision::job::Job;
use process::clock::unix_ms;

use crate::driver::Driver;

/// A command to the engine that has not ended.
pub(crate) struct PendingCommand {
    kind: CommandKind,
    version: Name,
    weights: Option<Name>,
    pub(crate) token: u64,
    head: Head,
    /// In milliseconds since the Unix epoch.
    sent_unix_ms: u64,
}

impl PendingCommand {
    /// Describes a load command that is sent now, while the configuration `head` is in force.
    pub(crate) fn load(version: &Name, digest: &Name, token: u64, head: &Head) -> PendingCommand {
        PendingCommand {
            weights: Some(digest.clone()),
            kind: CommandKind::Load,
            ..PendingCommand::unload(version, token, head)
        }
    }

    /// Describes an unload command that is sent now, while the configuration `head` is in force.
    pub(crate) fn unload(version: &Name, token: u64, head: &Head) -> PendingCommand {
        PendingCommand {
            kind: CommandKind::Unload,
            version: version.clone(),
            weights: None,
            token,
            head: head.clone(),
            sent_unix_ms: unix_ms(),
        }
    }
}

impl Driver {
    pub(crate) fn record_command(&self, pending: PendingCommand, result: Result<(), CommandFault>) {
        let error = result.err().map(|fault| match fault {
            CommandFault::Failed => "failed".to_owned(),
            CommandFault::Unknown => "no answer".to_owned(),
            CommandFault::Fenced => "fencing token rejected".to_owned(),
        });
        self.audit().record(CommandRecord {
            endpoint: self.endpoint().clone(),
            kind: pending.kind,
            version: pending.version,
            weight_digest: pending.weights,
            fencing_token: pending.token,
            head: pending.head,
            error,
            start: pending.sent_unix_ms,
            end: unix_ms(),
        });
    }

    /// Records the end of an attempt with the request body `body`.
    pub(crate) fn record_end(&self, job: &Job, end: &End, arrived_unix_ms: u64, body: &[u8]) {
        self.audit().record(AttemptRecord {
            request: job.request,
            attempt: job.attempt,
            workspace: job.workspace.clone(),
            head: job.head.clone(),
            route: job.route.clone(),
            target: job.target.clone(),
            endpoint: Some(end.endpoint.clone()),
            incarnation: Some(end.incarnation),
            claim: job.row.clone(),
            replay: false,
            outcome: end.outcome,
            start: arrived_unix_ms,
            end: unix_ms(),
            request_digest: audit::digest(body),
            // The entry relays the response to the caller and records its digest.
            response_digest: None,
        });
    }
}

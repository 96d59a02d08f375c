//! What the agent records for the audit.

use audit::AttemptRecord;
use audit::CommandKind;
use audit::CommandRecord;
use decision::agent::CommandFault;
use decision::ids::Head;
use decision::ids::Name;
use decision::job::End;
use decision::job::Job;
use process::clock::unix_ms;

use crate::shell::Shell;

/// A command that was sent and has not ended.
pub(crate) struct Sent {
    kind: CommandKind,
    version: Name,
    weights: Option<Name>,
    pub(crate) token: u64,
    head: Head,
    start: u64,
}

impl Sent {
    /// Describes a load that is sent now under the configuration `head`.
    pub(crate) fn load(version: &Name, digest: &Name, token: u64, head: &Head) -> Sent {
        Sent {
            weights: Some(digest.clone()),
            kind: CommandKind::Load,
            ..Sent::unload(version, token, head)
        }
    }

    /// Describes an unload that is sent now under the configuration `head`.
    pub(crate) fn unload(version: &Name, token: u64, head: &Head) -> Sent {
        Sent {
            kind: CommandKind::Unload,
            version: version.clone(),
            weights: None,
            token,
            head: head.clone(),
            start: unix_ms(),
        }
    }
}

impl Shell {
    /// Records the end of a command.
    pub(crate) fn record_command(&self, sent: Sent, result: Result<(), CommandFault>) {
        let error = result.err().map(|fault| match fault {
            CommandFault::Failed => "failed".to_owned(),
            CommandFault::Unknown => "no answer".to_owned(),
            CommandFault::Fenced => "fencing token rejected".to_owned(),
        });
        self.audit().record(CommandRecord {
            endpoint: self.endpoint().clone(),
            kind: sent.kind,
            version: sent.version,
            weights: sent.weights,
            token: sent.token,
            head: sent.head,
            error,
            start: sent.start,
            end: unix_ms(),
        });
    }

    /// Records the end of an attempt that arrived at `start`.
    pub(crate) fn record_end(&self, job: &Job, end: &End, start: u64, asked: &[u8]) {
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
            start,
            end: unix_ms(),
            asked: audit::digest(asked),
            // The entry, which relays the answer, records its digest.
            answered: None,
        });
    }
}

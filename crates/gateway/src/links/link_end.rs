//! The ends of connections to agents, and which side has caused them.

use std::io;
use std::time::Duration;

use futures::StreamExt;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::codec::LinesCodecError;

use crate::lines::Lines;

/// The time in which the end of a connection shows after a message could not be sent.
const END_TIME: Duration = Duration::from_millis(20);

/// Why a connection ended.
pub(super) struct LinkEnd {
    pub(super) reason: String,
    /// Whether the agent's end is closed.
    pub(super) by_agent: bool,
}

impl From<String> for LinkEnd {
    fn from(reason: String) -> LinkEnd {
        LinkEnd {
            reason,
            by_agent: false,
        }
    }
}

impl From<&str> for LinkEnd {
    fn from(reason: &str) -> LinkEnd {
        reason.to_owned().into()
    }
}

/// Returns why no further line can be read.
pub(super) fn end_of(ended: Option<Result<String, LinesCodecError>>) -> LinkEnd {
    match ended {
        None | Some(Ok(_)) => LinkEnd {
            reason: "closed".into(),
            by_agent: true,
        },
        Some(Err(error)) => {
            let reset = io::ErrorKind::ConnectionReset;
            LinkEnd {
                by_agent: matches!(&error, LinesCodecError::Io(e) if e.kind() == reset),
                reason: error.to_string(),
            }
        }
    }
}

/// Returns whether the agent's end of a connection turns out to be closed.
pub(super) async fn has_ended(lines: &mut Lines) -> bool {
    let end = Instant::now() + END_TIME;
    loop {
        match timeout_at(end, lines.next()).await {
            Ok(Some(Ok(_))) => {}
            Ok(ended) => return end_of(ended).by_agent,
            Err(_) => return false,
        }
    }
}

//! Whether a request may be sent, as far as the crashes of runners are concerned.

use std::time::Duration;

use derive_more::Display;

use crate::request::PartId;

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// None of its parts is under suspicion.
    Free,
    /// It may be sent as the canary of these parts; [`Quarantine::end_canary`] ends that.
    Canary(Vec<PartId>),
    /// The hold of this part has expired. The request may be sent if no other entry probes the part.
    Probe(PartId),
    /// It must not be sent.
    Refused(Refusal),
}

/// Why a request is held back.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{cause} {} {part}", if *whole { "request" } else { "prompt part" })]
pub struct Refusal {
    /// The part under suspicion.
    pub part: PartId,
    /// Whether it is the whole request.
    pub whole: bool,
    /// Whether the part is isolated or held.
    pub cause: RefusalCause,
    /// After what time the caller may try again.
    pub retry_after: Duration,
}

/// The state of the part because of which a request is held back.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalCause {
    /// Another request tries the part.
    #[display("after a crash another request tries")]
    Isolated,
    /// Runners have crashed on the part.
    #[display("runners crash on")]
    Held,
}

//! The error type of calls to external systems.

use derive_more::Display;
use derive_more::Error;

/// Why a call failed, as far as callers distinguish the causes.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request was not sent and had no effect.
    #[display("not sent")]
    NotSent,
    /// The request was sent, but no complete response arrived. It may have taken effect.
    #[display("no response")]
    NoResponse,
    /// The peer does not have the requested item.
    #[display("not found")]
    NotFound,
    /// A condition of the request does not hold. The request had no effect.
    #[display("conflict")]
    Conflict,
    /// The peer is overloaded or not ready. The request had no effect.
    #[display("unavailable")]
    Unavailable,
    /// The peer rejected the request, which had no effect.
    #[display("refused with status {status}: {message}")]
    Refused {
        /// The HTTP status, 4xx.
        status: u16,
        /// The first 256 characters of the response body.
        message: String,
    },
    /// The response could not be interpreted. The request may have taken effect.
    #[display("malformed response: {_0}")]
    Malformed(String),
}

/// A failed call to an external system.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{operation} at {peer}: {kind}")]
pub struct EdgeError {
    /// What the call was to do, for example `load adapter`.
    pub operation: &'static str,
    /// The address of the called system.
    pub peer: String,
    /// Why the call failed.
    #[error(not(source))]
    pub kind: ErrorKind,
}

impl EdgeError {
    /// Returns whether it is certain that the request had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self.kind, ErrorKind::NoResponse | ErrorKind::Malformed(_))
    }
}

/// The result of a call to an external system.
pub type EdgeResult<T> = Result<T, EdgeError>;

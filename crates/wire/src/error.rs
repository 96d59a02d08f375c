//! The error type of calls to peers.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;

/// A failed call to a peer, with the step and the peer at which it failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{step} at peer {peer}: {message}")]
pub struct LinkError {
    /// The step, for example `dispatch`.
    pub step: &'static str,
    /// The peer's address.
    pub peer: SocketAddr,
    /// Whether the call may have reached the peer.
    pub sent: bool,
    /// What went wrong.
    pub message: String,
}

/// The result of a call to a peer.
pub type LinkResult<T> = Result<T, LinkError>;

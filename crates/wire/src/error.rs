//! Error type of calls to peers.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;

/// A failed call to a peer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{step} at peer {peer}: {message}")]
pub struct LinkError {
    /// Operation that failed, for example `dispatch`.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether the call may have reached the peer; if not, it has had no effect there.
    pub sent: bool,
    /// Cause of the failure.
    pub message: String,
}

/// The result of a call to a peer.
pub type LinkResult<T> = Result<T, LinkError>;

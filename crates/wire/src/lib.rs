//! RPC between dotterelwheel's own processes, with capnp-rpc over TCP.
//!
//! Invariants: the receiver of a response gets its chunks in order and without gaps, or its channel
//! closes before an end; an error says whether the call may have reached the peer. This crate makes
//! no decisions and retries nothing. The generated code is committed; to regenerate it, run
//! `capnp compile -orust:../src wire.capnp` in `schema/`.
//!
//! API boundary: processes use the `Send` handles [`Links`], [`Peer`], [`Server`] and
//! [`ResponseSink`]. The RPC systems, which are bound to one thread each, are not exposed.

mod client;
mod codec;
mod error;
mod handler;
mod server;
mod sink;
mod thread;

#[allow(clippy::all, clippy::unimplemented, missing_docs, unreachable_pub, rust_2018_idioms)]
#[rustfmt::skip]
pub mod wire_capnp;

pub use client::DispatchedAttempt;
pub use client::Links;
pub use client::Peer;
pub use error::LinkError;
pub use error::LinkResult;
pub use handler::Handler;
pub use handler::Identity;
pub use handler::ResponseEvent;
pub use handler::ResponseSink;
pub use handler::SinkClosed;
pub use server::Server;

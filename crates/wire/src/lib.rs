//! Messages between dotterelwheel's own processes, over capnp-rpc on TCP.
//!
//! Invariants: an answer reaches its receiver in order and without gaps, or the receiver sees its
//! channel close before an end; an error says whether the call may have reached the peer. No
//! decision is made here and nothing is retried. Generated code is committed; it is made in
//! `schema/` by `capnp compile -orust:../src wire.capnp`.
//!
//! API boundary: processes use the `Send` handles [`Links`], [`Peer`], [`Server`] and
//! [`ResponseSink`]. The RPC system is bound to one thread and stays inside.

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

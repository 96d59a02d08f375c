//! Messages between dotterelwheel's own processes, over capnp-rpc on TCP.
//!
//! Invariants: generated code is committed and is made from `schema/wire.capnp` by
//! `capnp compile -orust:../src wire.capnp` in `schema/`; no decision is made here.
//!
//! API boundary: processes use the `Send` handles; the RPC system, which is bound to one thread,
//! stays inside.

#[allow(clippy::all, clippy::unimplemented, missing_docs, unreachable_pub, rust_2018_idioms)]
#[rustfmt::skip]
pub mod wire_capnp;

//! The interfaces of the systems outside dotterelwheel.
//!
//! Each module holds one edge: a trait with typed requests, answers and errors, and a client that
//! speaks the edge's published protocol over HTTP. A new protocol for an edge is one new file with
//! another implementation of the same trait.
//!
//! Invariants: an edge makes no decision and retries nothing; every call ends within the timeout
//! that it was given; an error says whether the request may have taken effect.
//!
//! API boundary: processes hold edges as `Arc<dyn Trait>`, so that tests put in-memory fakes in
//! their place.

pub mod engine;
pub mod error;
pub mod http;
pub mod members;
pub mod service;
pub mod store;
pub mod table;
pub mod weights;

pub use error::EdgeError;
pub use error::EdgeResult;
pub use error::ErrorKind;

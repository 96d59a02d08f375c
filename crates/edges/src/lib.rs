//! Interfaces of the external systems that dotterelwheel calls.
//!
//! Each module defines one system: a trait with typed requests, responses and errors, and a client
//! that speaks the system's published protocol over HTTP. To support another protocol, add a file
//! with another implementation of the trait.
//!
//! Invariants: no client makes decisions or retries. Every call ends within its timeout; only the
//! body of a [`engine::StreamingResponse`] has none. An error says whether the request may have
//! taken effect.
//!
//! API boundary: processes hold the clients as `Arc<dyn Trait>`, so that tests can use in-memory
//! fakes.

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

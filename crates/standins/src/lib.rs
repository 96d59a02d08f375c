//! Fake HTTP servers for the systems that dotterelwheel depends on, for tests, benches and the
//! demo.
//!
//! Each fake listens on a free loopback port and implements the protocol that the matching client
//! in `edges` uses. Its handle injects faults and reads the fake's own record of what happened, so
//! that checks do not depend on what dotterelwheel reports about itself.
//!
//! Invariants: faults are counted or switched on and off, never random; a request that a fault
//! rejects without effect changes no state; `stop` returns after all tasks of the fake have ended.
//!
//! API boundary: processes under test know a fake only by its address; fakes of other protocols
//! build on [`server`] and [`reply`].

pub mod calls;
pub mod engine;
pub mod faults;
pub mod members;
pub mod objects;
pub mod reply;
pub mod server;
pub mod service;
pub mod table;
pub mod weights;

pub use engine::Engine;
pub use engine::EngineConfig;
pub use faults::FaultInjector;
pub use members::Members;
pub use objects::Objects;
pub use service::BookingService;
pub use table::Table;
pub use weights::Weights;
pub use weights::WeightsConfig;

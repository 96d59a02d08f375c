//! Small HTTP stand-ins of the systems outside dotterelwheel, for tests, benches and the demo.
//!
//! Each stand-in listens on a free loopback port and speaks the protocol of its edge. Its handle
//! injects faults and reads the stand-in's own record of what happened, so that a monitor does not
//! depend on what dotterelwheel claims.
//!
//! Invariants: faults are counted or switched, never random; a fault that is said to have no effect
//! has none; `stop` returns after all tasks of the stand-in have ended.
//!
//! API boundary: processes under test know a stand-in only by its address; stand-ins of other
//! protocols build on [`server`] and [`reply`].

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

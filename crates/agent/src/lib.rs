//! The agent: the process that serves one endpoint, next to its model engine or service.
//!
//! Invariants: [`decision::agent::AgentCore`] makes every decision; this crate carries out its
//! actions in order. Nothing of an engine's response is passed on before the response names exactly
//! the requested version or model. Every accepted job gets exactly one end. [`Agent::stop`] joins
//! every task that this crate starts.
//!
//! API boundary: a daemon or a test starts an [`Agent`] from [`Settings`] and [`ExternalServices`];
//! entries call it only over `wire`.

mod agent;
pub mod check;
mod claims;
mod driver;
mod external;
mod handler;
mod metrics;
mod permits;
mod records;
mod region;
mod run;
pub mod settings;

pub use agent::Agent;
pub use external::ExternalServices;
pub use settings::Settings;

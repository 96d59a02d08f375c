//! The agent: the process beside one endpoint.
//!
//! Invariants: every decision is made by [`decision::agent::AgentCore`]; this crate carries its
//! actions out in order. Nothing of an engine's answer is passed on before it named exactly what was
//! asked for. Every accepted job gets one end, and every task that is started here is joined by
//! [`Agent::stop`].
//!
//! API boundary: a daemon or a test starts an [`Agent`] from [`Settings`] and [`ExternalServices`]; entries
//! reach it over `wire` only.

mod agent;
pub mod check;
mod claims;
mod external;
mod handler;
mod metrics;
mod permits;
mod records;
mod region;
mod run;
pub mod settings;
mod shell;

pub use agent::Agent;
pub use external::ExternalServices;
pub use settings::Settings;

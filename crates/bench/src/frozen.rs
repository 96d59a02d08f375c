//! The first committed policy.

use first as rules;

// The frozen crate has the same interface with types of its own, so that it needs the same code.
#[allow(clippy::duplicate_mod)]
#[path = "adapter.rs"]
mod adapter;

pub use adapter::Adapter as First;

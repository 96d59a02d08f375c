//! The policy of the decision crate.

use decision as rules;

#[path = "adapter.rs"]
mod adapter;

pub use adapter::Adapter as Ours;

//! The policy of the decision crate, printed as `ours`.

use decision as decision_crate;

#[path = "adapter.rs"]
mod adapter;

pub use adapter::DecisionPolicy;

//! Load permits: who may load from the weight store next.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::Name;

/// A request for a load permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The endpoint that wants to load.
    pub endpoint: Name,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The served name of the version.
    pub version: Name,
    /// The number of jobs that wait for it.
    pub waiting: u32,
    /// The time left until the earliest deadline among them.
    pub left: Duration,
    /// Expected uses per hour after the load, in thousandths.
    pub expected: u32,
}

/// A permit to load one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number under which the permit is returned.
    pub id: u64,
    /// The time after which the coordinator counts the permit as returned.
    pub ttl: Duration,
}

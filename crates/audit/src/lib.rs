//! Audit records that an external monitor can verify without trusting the processes.
//!
//! Each incarnation of each process writes one hash chain. Records are appended in memory, written
//! in batches to the object store under `audit/{process}/{incarnation}/{first-seq}`, and checked by
//! [`verify`].
//!
//! Invariants: [`Log::record`] never waits; a batch never changes after the first attempt to write
//! it, so that a write whose response was lost can be repeated; records that could not be kept are
//! counted in a gap entry at their place in the chain; records hold digests and never content.
//!
//! API boundary: processes know [`Log`] and [`Record`]; the form of the stored objects is known
//! only to `chain`.

mod chain;
mod log;
mod published;
mod record;
mod runs;
mod search;
mod verify;

pub use chain::EntryBody;
pub use chain::Tip;
pub use log::CloseError;
pub use log::Log;
pub use log::LogSettings;
pub use log::LogState;
pub use published::PublishedSet;
pub use record::AttemptRecord;
pub use record::CommandKind;
pub use record::CommandRecord;
pub use record::Hasher;
pub use record::Record;
pub use record::digest;
pub use search::search;
pub use verify::ChainSummary;
pub use verify::EntryPosition;
pub use verify::Problem;
pub use verify::ReferenceData;
pub use verify::VerificationReport;
pub use verify::verify;

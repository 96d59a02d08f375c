//! Audit log that an external monitor can verify without trusting the processes that write it.
//!
//! Each incarnation of each process writes one hash chain. Records are buffered in memory, written
//! in batches to the object store under `audit/{process}/{incarnation}/{first-seq}`, and checked by
//! [`verify()`].
//!
//! Invariants:
//!
//! - [`Log::record`] never waits for the object store.
//! - A batch never changes after the first attempt to write it, so that a write whose response was
//!   lost can be retried.
//! - Records lost because the buffer was full are counted in a gap entry at their position in the
//!   chain.
//! - Records hold digests of requests and responses, never their content.
//!
//! API boundary: processes use [`Log`] and [`Record`]; only the module `chain` knows the storage
//! format.

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

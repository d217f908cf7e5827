//! The replicated state: records of run-once calls, which must not be executed twice, the bundle history,
//! issuer leases, the catalog and the evacuated data centres.
//!
//! The state is a deterministic function of the log. It uses no clock, no randomness, and no settings except
//! the name of the deployment and the operator keys, which must be equal on all voters.

mod answer;
mod codec;
mod command;
mod query;
mod replicated_state;
mod reply;
mod restore_error;
mod revision_in_force;
mod snapshot;
mod state_closures;

pub use answer::Answer;
pub use codec::CodecError;
pub use command::Command;
pub use query::Query;
pub use replicated_state::ReplicatedState;
pub use reply::Reply;
pub use restore_error::RestoreError;
pub use revision_in_force::RevisionInForce;
pub use state_closures::{ApplyFn, QueryFn, RestoreFn, StateClosures};

/// Maximum number of bundles or revisions in one answer; keeps an answer without bundle contents below 64
/// KiB.
pub const MAX_LISTED_ENTRIES: usize = 64;

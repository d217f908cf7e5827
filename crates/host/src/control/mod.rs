//! The control thread: peer connections, membership, the replicated log and the distribution of bundles.

mod bundles;
mod call_outcome;
mod call_target;
mod control_context;
mod control_error;
mod control_handle;
mod control_job;
mod control_parts;
mod control_start_error;
mod control_status;
mod control_thread;
mod discovery;
mod formation;
mod handlers;
mod leader_hint;
mod leader_read;
mod leader_status;
mod maintenance;
mod peer_links;
mod replica_start;
mod route;
mod voter_progress;

pub use control_error::ControlError;
pub use control_handle::ControlHandle;
pub use control_start_error::ControlStartError;
pub use control_status::ControlStatus;
pub use control_thread::{ControlThread, start_control};
pub use leader_status::LeaderStatus;
pub use voter_progress::VoterProgress;

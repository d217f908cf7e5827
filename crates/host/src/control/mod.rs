//! The control thread: peers, membership, the replicated log and the spread of bundles.

mod bundles;
mod context;
mod discovery;
mod error;
mod formation;
mod handle;
mod handlers;
mod leader_read;
mod leader_status;
mod links;
mod maintenance;
mod node_start;
mod route;
mod start_error;
mod status;
mod storage_adapter;
mod thread;

pub use error::ControlError;
pub use handle::ControlHandle;
pub use leader_status::{LeaderStatus, VoterProgress};
pub use start_error::ControlStartError;
pub use status::ControlStatus;
pub use thread::{ControlThread, start_control};

//! Messages between gateways.

mod follow;
mod message;
mod release;
mod stage_load;
mod stage_reply;
mod stage_request;

pub use follow::{FollowReply, FollowRequest};
pub use message::{Message, Reply, decode, encode};
pub use release::ReleaseRequest;
pub use stage_load::{PRIORITIES, StageLoad};
pub use stage_reply::{StageAnswer, StageFailure, StageReply};
pub use stage_request::{CancelRequest, StageRequest};

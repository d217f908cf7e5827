//! Messages between gateways.

mod cancel_request;
mod codec;
mod message;
mod release_request;
mod reply;
mod stage_answer;
mod stage_failure;
mod stage_load;
mod stage_reply;
mod stage_request;
mod subscribe_reply;
mod subscribe_request;

pub use cancel_request::CancelRequest;
pub use codec::{decode, encode};
pub use message::Message;
pub use release_request::ReleaseRequest;
pub use reply::Reply;
pub use stage_answer::StageAnswer;
pub use stage_failure::StageFailure;
pub use stage_load::{PRIORITY_LEVELS, StageLoad};
pub use stage_reply::StageReply;
pub use stage_request::StageRequest;
pub use subscribe_reply::SubscribeReply;
pub use subscribe_request::SubscribeRequest;

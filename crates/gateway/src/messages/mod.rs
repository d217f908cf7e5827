//! Messages between gateways.

mod cancel_request;
mod codec;
mod evidence_request;
mod message;
mod release_request;
mod reply;
mod stage_failure;
mod stage_load;
mod stage_outcome;
mod stage_reply;
mod stage_request;
mod subscribe_reply;
mod subscribe_request;

pub(crate) use cancel_request::CancelRequest;
pub(crate) use codec::{decode, encode};
pub(crate) use evidence_request::EvidenceRequest;
pub(crate) use message::Message;
pub(crate) use release_request::ReleaseRequest;
pub(crate) use reply::Reply;
pub(crate) use stage_failure::StageFailure;
pub(crate) use stage_load::{PRIORITY_LEVELS, StageLoad};
pub(crate) use stage_outcome::StageOutcome;
pub(crate) use stage_reply::StageReply;
pub(crate) use stage_request::StageRequest;
pub(crate) use subscribe_reply::SubscribeReply;
pub(crate) use subscribe_request::SubscribeRequest;

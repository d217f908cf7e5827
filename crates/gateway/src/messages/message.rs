use masticstair_core::id::CallId;
use masticstair_policy::endpoint_limits::LimitNotice;
use masticstair_policy::stream_versions::StreamNotice;
use serde::{Deserialize, Serialize};

use super::{
    CancelRequest, ColdPermitRequest, FindingsRequest, ReleaseRequest, StageRequest,
    SubscribeRequest,
};

/// A message from one gateway to another.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A host asks a control host for updates.
    #[serde(rename = "Follow")]
    Subscribe(SubscribeRequest),
    /// A host submits a stage to the host that forms the calls of its service.
    Stage(Box<StageRequest>),
    /// The request of a stage has ended.
    Cancel(CancelRequest),
    /// Results of stages are no longer needed.
    Release(ReleaseRequest),
    /// Checks that the host and the connection to it are alive.
    Ping,
    /// A host exchanges findings with a control host.
    Findings(FindingsRequest),
    /// A host asks for a permit to send a request to an endpoint that has a limit.
    Permit(LimitNotice),
    /// A host tells a control host who wrote the streams of its clients.
    Streams(Vec<StreamNotice>),
    /// A host asks a control host who wrote the stream of an attempt.
    FindStream(CallId),
    /// A host asks for a permit to send a request to a cold endpoint. Earlier builds do not answer it, so that the endpoint
    /// gets nothing from hosts that would have to ask them.
    ColdPermit(ColdPermitRequest),
}

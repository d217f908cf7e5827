//! The interface between the gateway and the encoding of its messages: plain functions over the gateway's own
//! types. A front end knows the names on the wire and makes no decisions.

mod answer_meta;
mod control_reply;
mod control_request;
mod endpoint_call;
mod piece_failure;
mod piece_outcome;
mod prompt;
mod prompt_part;
mod refusal;
mod refusal_reason;
mod request_meta;
mod stage_call;
mod stage_call_item;
mod stage_source;
mod upstream_meta;

pub use answer_meta::AnswerMeta;
pub use control_reply::ControlReply;
pub use control_request::ControlRequest;
pub use endpoint_call::EndpointCall;
pub use piece_failure::PieceFailure;
pub use piece_outcome::PieceOutcome;
pub use prompt::Prompt;
pub use prompt_part::PromptPart;
pub use refusal::Refusal;
pub use refusal_reason::RefusalReason;
pub use request_meta::RequestMeta;
pub use stage_call::StageCall;
pub use stage_call_item::StageCallItem;
pub use stage_source::StageSource;
pub use upstream_meta::UpstreamMeta;

use http::request::Parts;
use http::{HeaderMap, StatusCode};
use masticstair_core::catalog::{Catalog, CatalogDocument, CatalogError};
use masticstair_core::id::ResultHandle;
use masticstair_net::http::server::{Request, Response};
use std::net::SocketAddr;

/// A catalog document together with the catalog parsed from it.
pub type CatalogRead = Result<(CatalogDocument, Catalog), CatalogError>;

/// The functions of a front end.
#[derive(Clone, Copy)]
pub struct FrontEnd {
    /// Reads the metadata of a client's request.
    pub read_request: fn(&Parts) -> Result<RequestMeta, Refusal>,
    /// Builds the headers for an endpoint from those of a client.
    pub upstream_headers: fn(&HeaderMap, &UpstreamMeta<'_>) -> HeaderMap,
    /// Reads the metadata of an endpoint's answer.
    pub read_answer: fn(StatusCode, &HeaderMap) -> AnswerMeta,
    /// Builds the headers for a client from those of an endpoint.
    pub answer_headers: fn(&HeaderMap) -> HeaderMap,
    /// Builds the response to a request that got no answer from an endpoint.
    pub refuse: fn(&Refusal) -> Response,
    /// Encodes a call of a stage service.
    pub stage_call: fn(&StageCall<'_>) -> EndpointCall,
    /// Decodes the answer of a stage service; none if it is malformed.
    pub read_stage_answer: fn(&[u8]) -> Option<Vec<PieceOutcome>>,
    /// Encodes the call that releases results of a stage.
    pub release_call: fn(&[ResultHandle]) -> EndpointCall,
    /// Returns the address of the endpoint that holds a result.
    pub result_address: fn(&ResultHandle) -> Option<SocketAddr>,
    /// Returns whether a request is the load balancer's readiness probe.
    pub is_ready_probe: fn(&Parts) -> bool,
    /// Decodes a request to a control host.
    pub read_control: fn(&Request) -> ControlRequest,
    /// Encodes the reply of a control host.
    pub control_response: fn(&ControlReply) -> Response,
    /// Parses and validates a catalog document.
    pub read_catalog: fn(&[u8]) -> CatalogRead,
}

use masticstair_core::prelude::*;
use masticstair_policy::reported_load::{ReportedLoad, ReportedLoadError};

/// What the gateway needs from the answer of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerMeta {
    /// The attempt that the answer names. Unless it is the one that was sent, the answer may belong to another request.
    pub call: Option<CallId>,
    /// Whether the endpoint states that it has not run the request.
    pub not_run: bool,
    /// Whether a client takes the status to mean that the request has not run.
    pub reads_as_not_run: bool,
    /// Whether the endpoint at this address is not the expected one.
    pub is_other_endpoint: bool,
    /// Whether inputs of the request no longer exist.
    pub inputs_gone: bool,
    /// Whether the endpoint signed the answer; an answer without a signature is not complete.
    pub signed: bool,
    /// Whether the endpoint states that it is leaving.
    pub leaving: bool,
    /// For how long the endpoint wants nothing from this host, if it turned the request away.
    pub pause: Option<Millis>,
    /// The requests a second that the endpoint takes from all hosts together; none if it names no limit.
    pub limit: Option<RatePerSecond>,
    /// The load that the endpoint reports, if it reports one.
    pub load: Option<Result<ReportedLoad, ReportedLoadError>>,
    /// How much longer the endpoint stays cold; none if it does not say.
    pub warmup: Option<Millis>,
}

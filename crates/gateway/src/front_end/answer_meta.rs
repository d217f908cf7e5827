use masticstair_core::prelude::*;

/// What the gateway needs to know of an endpoint's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerMeta {
    /// The attempt that the answer names; an answer that names another one belongs to another request.
    pub call: Option<CallId>,
    /// Whether the endpoint states that it has not run the request.
    pub not_run: bool,
    /// Whether the endpoint at this address is another one than expected.
    pub is_other_endpoint: bool,
    /// Whether inputs of the request are gone.
    pub inputs_gone: bool,
    /// Whether the endpoint signed the answer; one without a signature is not complete.
    pub signed: bool,
}

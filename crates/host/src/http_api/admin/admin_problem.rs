use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use masticstair_core::prelude::*;
use masticstair_net::http::server::Response;
use serde::{Deserialize, Serialize};

use super::Winner;

/// A problem document with further members that help an operator to resolve the problem.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdminProblem {
    /// The members common to all problem documents.
    #[serde(flatten)]
    pub problem: Problem,
    /// The revision in force, if the command expects another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The operator whose command came first, if the command conflicts with an earlier one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<Winner>,
    /// The errors of an invalid bundle, in the order of the document; at most 10,000.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<Box<str>>,
    /// The number of all errors, which may exceed the length of `errors`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error_count: Option<u32>,
}

impl AdminProblem {
    pub(super) fn response(&self) -> Response {
        let status =
            StatusCode::from_u16(self.problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let media_type = HeaderValue::from_static("application/problem+json");
        let response = Response::json(status, self).with_header(CONTENT_TYPE, media_type);
        match self.problem.retry_after_s {
            Some(s) => response.with_header(http::header::RETRY_AFTER, HeaderValue::from(s)),
            None => response,
        }
    }
}

impl From<Problem> for Box<AdminProblem> {
    fn from(problem: Problem) -> Self {
        Box::new(AdminProblem {
            problem,
            revision: None,
            winner: None,
            errors: Vec::new(),
            error_count: None,
        })
    }
}

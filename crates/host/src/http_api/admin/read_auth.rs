//! Authenticates reads of operators.

use masticstair_core::prelude::*;
use masticstair_net::http::server::Request;
use masticstair_policy::operator_read::{ReadHeader, ReadRefusal};
use std::fmt::Display;
use std::str::FromStr;

use super::{AdminProblem, SIGNATURE_HEADER, SIGNER_HEADER, TIME_HEADER};
use crate::state::HostState;

/// Verifies the signature of a read against the signers of the bundle in force, or against the operators of
/// the settings before there is one.
pub(super) fn check_read(state: &HostState, req: &Request) -> Result<(), Box<AdminProblem>> {
    let header = ReadHeader {
        signer: parse_header(req, SIGNER_HEADER)?,
        time: parse_header(req, TIME_HEADER)?,
        signature: parse_header(req, SIGNATURE_HEADER)?,
    };
    let in_force = state.in_force.get();
    let signers = in_force.as_ref().map_or(&state.cfg.operators, |c| &c.bundle.signers);
    let target = req.head.uri.path_and_query().map_or("/", |target| target.as_str());
    let method = req.head.method.as_str();
    let now = state.clock.wall();
    let checked = header.verify(now, &state.cfg.deployment, method, target, signers);
    Ok(checked.map_err(refusal_problem)?)
}

fn parse_header<T: FromStr<Err: Display>>(
    req: &Request,
    name: &str,
) -> Result<T, Box<AdminProblem>> {
    let refuse = |kind, detail: String| Problem::not_run(401, kind, detail).with_field(name);
    let Some(text) = req.header(name) else {
        let detail = format!("a read needs the header {name}");
        return Err(refuse("unauthorized", detail).into());
    };
    Ok(text.parse().map_err(|e| refuse("unauthorized", format!("{text:?}: {e}")))?)
}

fn refusal_problem(refusal: ReadRefusal) -> Problem {
    let (kind, field) = match refusal {
        ReadRefusal::UnknownSigner(_) => ("signer-unknown", SIGNER_HEADER),
        ReadRefusal::BadSignature(_) => ("signature-invalid", SIGNATURE_HEADER),
        ReadRefusal::Expired { .. } => ("signature-expired", TIME_HEADER),
    };
    Problem::not_run(403, kind, refusal.to_string()).with_field(field)
}

//! Maps refusals by the replicated state and errors of the control thread to problem documents.

use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::BundleRefusal;

use super::AdminProblem;
use crate::control::ControlError;

/// Returns the problem for a command that the replicated state refused. A refused command changed nothing.
pub(super) fn bundle_problem(refusal: BundleRefusal) -> Box<AdminProblem> {
    use BundleRefusal as R;
    let (status, kind, field) = match &refusal {
        R::UnknownSigner(_) => (403, "signer-unknown", "signer"),
        R::NoRight { .. } => (403, "right-missing", "signer"),
        R::BadSignature(_) => (403, "signature-invalid", "signature"),
        R::IdReused { .. } => (409, "command-id-reused", "command_id"),
        R::RevisionMoved { .. } => (409, "revision-moved", "expected_revision"),
        R::TooLarge { .. } => (413, "content-too-large", "content"),
        R::Invalid { .. } => (422, "bundle-invalid", "content"),
        R::VersionTaken { .. } => (409, "version-taken", "content"),
        R::UnknownBundle(_) => (404, "bundle-unknown", "sha256"),
        R::ContentDropped(_) => (410, "content-dropped", "sha256"),
        R::NotSignedOff { .. } => (409, "not-signed-off", "sha256"),
        R::ChangeMismatch(_) => (409, "change-misfit", "content"),
    };
    let detail = match &refusal {
        R::Invalid { total, .. } => format!("the bundle has {total} errors"),
        other => other.to_string(),
    };
    let problem = Problem::not_run(status, kind, detail).with_field(field);
    with_details(problem.into(), refusal)
}

fn with_details(mut problem: Box<AdminProblem>, refusal: BundleRefusal) -> Box<AdminProblem> {
    match refusal {
        BundleRefusal::IdReused { origin, .. } | BundleRefusal::VersionTaken { origin, .. } => {
            problem.winner = Some(origin.into());
        }
        BundleRefusal::RevisionMoved { current, winner, .. } => {
            problem.revision = Some(current);
            problem.winner = winner.map(Into::into);
        }
        BundleRefusal::Invalid { errors, total } => {
            problem.errors = errors.into();
            problem.error_count = Some(total);
        }
        _ => {}
    }
    problem
}

/// Returns the problem for a command that got no reply.
pub(super) fn command_problem(error: ControlError) -> Box<AdminProblem> {
    let problem = match error {
        ControlError::NotProposed(reason) => {
            Problem::not_run(503, "not-proposed", format!("no leader took the command: {reason}"))
        }
        ControlError::Unknown(reason) => {
            let advice =
                "send the same command with the same command_id again to learn its outcome";
            Problem::unknown(503, "outcome-unknown", format!("{reason}; {advice}"))
        }
    };
    problem.with_retry_after(1).into()
}

/// Returns the problem for a read that got no answer. A read has no effect, so its outcome is `not_run`.
pub(super) fn read_problem(error: ControlError) -> Box<AdminProblem> {
    let (ControlError::NotProposed(reason) | ControlError::Unknown(reason)) = error;
    let detail = format!("no quorum confirmed the answer: {reason}");
    Problem::not_run(503, "no-quorum", detail).with_retry_after(1).into()
}

/// Returns the problem for an answer of an unexpected kind, which hosts of another release may send.
pub(super) fn unexpected_answer() -> Box<AdminProblem> {
    let detail = "the voters run a release that does not know the question";
    Problem::not_run(503, "release-mismatch", detail).into()
}

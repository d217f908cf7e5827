//! Problem documents of run-once calls.

use masticstair_core::prelude::*;

pub(super) fn no_log() -> Problem {
    let detail = "this host has no replicated log, which a call that must not be repeated needs";
    Problem::not_run(503, "no-replicated-log", detail).with_retry_after(1)
}

pub(super) fn no_quorum(reason: &str) -> Problem {
    let detail = format!("{reason}; the request was not run, repeat it under the same key");
    Problem::not_run(503, "no-quorum", detail).with_retry_after(1)
}

pub(super) fn body_conflict() -> Problem {
    let detail = "the key was used for a request with another body";
    Problem::not_run(422, "key-conflict", detail).with_field("idempotency-key")
}

pub(super) fn key_expired() -> Problem {
    let detail = "the record of the key has expired; an earlier request under it may have run";
    Problem::unknown(410, "key-expired", detail).with_field("idempotency-key")
}

pub(super) fn outcome_unknown() -> Problem {
    let detail = "an earlier request under the key may have run; it is not run again";
    Problem::unknown(409, "outcome-unknown", detail)
}

pub(super) fn still_running(request: RequestId) -> Problem {
    let detail = format!("request {request} under the same key is still running");
    Problem::unknown(409, "still-running", detail).with_retry_after(1)
}

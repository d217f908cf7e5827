//! Commands and status without a quorum of voters.

#![allow(clippy::unwrap_used)]

#[path = "support/admin.rs"]
mod admin;
mod support;

use admin::{ALL_RIGHTS, AdminHost, Operator, bundle};

/// Guards against a command that waits indefinitely for a quorum, and against a wrong outcome. `not_run` must
/// not be reported for a command that may have run; here no leader exists, so the command was never proposed.
#[test]
fn a_command_without_a_quorum_is_not_run() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let voters = "initial_voters = [\"h1\", \"h2\", \"h3\"]\n";
    let host = AdminHost::start("h1", true, voters, &[&anna]);
    let answer = host.post("/v1/bundles", &anna.submission("c", 0, &bundle("v1", &[&anna])));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.body["type"], "not-proposed", "{answer:?}");
    assert_eq!(answer.body["outcome"], "not_run", "{answer:?}");
    let status = host.get(&anna, "/v1/status").body;
    assert_eq!(status["confirmed"], false, "{status}");
    assert!(status["unhealthy"].to_string().contains("No quorum of voters answered"), "{status}");
}

//! Bounds on the size of requests from operators.

#[path = "support/admin.rs"]
mod admin;
mod support;

use admin::{ALL_RIGHTS, AdminHost, Operator, bundle};
use masticstair_core::bundle::Right;
use masticstair_core::prelude::*;

/// Starts the only voter with further lines of settings, such as bounds on bodies.
fn bounded_host(anna: &Operator, bounds: &str) -> AdminHost {
    let settings = format!("initial_voters = [\"h1\"]\n{bounds}");
    let host = AdminHost::start("h1", true, &settings, &[anna]);
    host.wait_for(anna, |status| status["confirmed"] == true);
    host
}

/// Guards against applying the bound on callers' bodies to bundles, against bundles without any bound, and
/// against applying the bound of bundles to other commands.
#[test]
fn bundles_have_a_separate_size_bound() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let bounds = "bounds.body_bytes = 1000\nbounds.bundle_body_bytes = 600000\n";
    let host = bounded_host(&anna, bounds);
    for (size, status) in [(500_000, 200), (600_000, 413)] {
        let content = format!("# {}\n{}", "x".repeat(size), bundle(&size.to_string(), &[&anna]));
        let answer = host.post("/v1/bundles", &anna.submission(&size.to_string(), 0, &content));
        assert_eq!(answer.status, status, "{answer:?}");
    }
    let digest = Sha256Digest::of(b"x");
    let long = "c".repeat(1_000);
    let mut body = anna.command("c", 0, Right::Roll, &digest);
    body["signature"] = long.into();
    assert_eq!(host.post(&format!("/v1/bundles/{digest}/roll"), &body).status, 413);
}

/// Guards against bounds that refuse the bundle of the largest supported deployment, with 37,000 client
/// accounts.
#[test]
fn a_bundle_of_37000_accounts_is_accepted() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let host = bounded_host(&anna, "");
    let mut content = bundle("large", &[&anna]);
    for n in 0..37_000 {
        let token = Sha256Digest::of(format!("{n}").as_bytes());
        content.push_str(&format!(
            "[[accounts]]\nid = \"account-{n}\"\ntoken_sha256 = \"{token}\"\nrate_per_s = 10\n\
             burst = 100\nconcurrency = 10\n"
        ));
    }
    let answer = host.post("/v1/bundles", &anna.submission("c", 0, &content));
    assert_eq!(answer.status, 200, "{answer:?}");
}

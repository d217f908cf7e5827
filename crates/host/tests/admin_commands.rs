//! Commands of operators over HTTP: who may send them, and what a refusal reports.

#[path = "support/admin.rs"]
mod admin;
mod support;

use admin::{ALL_RIGHTS, AdminHost, Operator, bundle};
use masticstair_core::bundle::Right;
use masticstair_core::prelude::*;
use serde_json::{Value, json};

struct Case {
    /// Which failure the case guards against.
    name: &'static str,
    target: String,
    body: Value,
    status: u16,
    kind: &'static str,
    /// Expected members of the problem document.
    members: Value,
}

struct Fixture {
    anna: Operator,
    bert: Operator,
    host: AdminHost,
    /// The digest of the bundle in force, revision 1.
    first: Sha256Digest,
    /// The digest of a bundle that is submitted but not signed off.
    second: Sha256Digest,
}

/// Starts a host with revision 1 in force; the operator bert may only submit.
fn fixture() -> Fixture {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let bert = Operator::new("bert", 2, "[\"submit\"]");
    let host = AdminHost::single(&[&anna]);
    let first = host.roll(&anna, 0, &bundle("v1", &[&anna, &bert]));
    let content = bundle("v2", &[&anna]);
    let answer = host.post("/v1/bundles", &bert.submission("submit-v2", 1, &content));
    assert_eq!(answer.status, 200, "{answer:?}");
    let second = Sha256Digest::of(content.as_bytes());
    Fixture { anna, bert, host, first, second }
}

fn with_member(mut body: Value, member: &str, value: Value) -> Value {
    body[member] = value;
    body
}

fn signature_cases(f: &Fixture) -> Vec<Case> {
    let stranger = Operator::new("carl", 3, ALL_RIGHTS);
    let forger = Operator::new("anna", 3, ALL_RIGHTS);
    let content = bundle("v3", &[&f.anna]);
    let roll = format!("/v1/bundles/{}/roll", f.second);
    let sign_off = format!("/v1/bundles/{}/sign-off", f.second);
    let other_digest = f.anna.command("other", 1, Right::SignOff, &f.first);
    let case = |name, target: &str, body, status, kind, members| Case {
        name,
        target: target.into(),
        body,
        status,
        kind,
        members,
    };
    vec![
        case(
            "a stranger changes the bundle",
            "/v1/bundles",
            stranger.submission("s1", 1, &content),
            403,
            "signer-unknown",
            json!({ "field": "signer", "outcome": "not_run" }),
        ),
        case(
            "another key signs under the name of an operator",
            "/v1/bundles",
            forger.submission("s2", 1, &content),
            403,
            "signature-invalid",
            json!({ "field": "signature", "outcome": "not_run" }),
        ),
        case(
            "the content is altered in transit",
            "/v1/bundles",
            with_member(f.anna.submission("s3", 1, &content), "content", bundle("v4", &[]).into()),
            403,
            "signature-invalid",
            json!({}),
        ),
        case(
            "a signature is used for another revision",
            &sign_off,
            with_member(
                f.anna.command("s4", 1, Right::SignOff, &f.second),
                "expected_revision",
                2.into(),
            ),
            403,
            "signature-invalid",
            json!({}),
        ),
        case(
            "a sign-off is used for another content",
            &sign_off,
            other_digest,
            403,
            "signature-invalid",
            json!({}),
        ),
        case(
            "a sign-off is used as a roll",
            &roll,
            f.anna.command("s5", 1, Right::SignOff, &f.second),
            403,
            "signature-invalid",
            json!({}),
        ),
        case(
            "an operator does more than its rights allow",
            &sign_off,
            f.bert.command("s6", 1, Right::SignOff, &f.second),
            403,
            "right-missing",
            json!({ "field": "signer",
                "detail": "signer bert does not have the right sign-off" }),
        ),
        case(
            "a malformed signature stops the host",
            &roll,
            with_member(f.anna.command("s7", 1, Right::Roll, &f.second), "signature", "x".into()),
            400,
            "signature-malformed",
            json!({ "field": "signature" }),
        ),
    ]
}

fn content_cases(f: &Fixture) -> Vec<Case> {
    let unknown = Sha256Digest::of(b"unknown");
    let broken = "version = \"v5\"\ncolour = 1\n[limits]\nhosts = 0\n";
    let errors = json!([
        "key limits.hosts: value 0 is not allowed: a whole number from 1 to 1000",
        "key colour is unknown (known here: accounts, limits, models, pipelines, pools, services, signers, version)",
    ]);
    let taken = f.anna.submission("c4", 1, &format!("{}\n# other", bundle("v2", &[&f.anna])));
    let case = |name, target: String, body, status, kind, members| Case {
        name,
        target,
        body,
        status,
        kind,
        members,
    };
    let bundles = || "/v1/bundles".to_owned();
    vec![
        case(
            "an invalid bundle is stored, or only its first error is reported",
            bundles(),
            f.anna.submission("c1", 1, broken),
            422,
            "bundle-invalid",
            json!({ "errors": errors, "error_count": 2, "outcome": "not_run" }),
        ),
        case(
            "a bundle is rolled without a sign-off",
            format!("/v1/bundles/{}/roll", f.second),
            f.anna.command("c2", 1, Right::Roll, &f.second),
            409,
            "not-signed-off",
            json!({ "field": "sha256" }),
        ),
        case(
            "a content that nobody submitted is signed off",
            format!("/v1/bundles/{unknown}/sign-off"),
            f.anna.command("c3", 1, Right::SignOff, &unknown),
            404,
            "bundle-unknown",
            json!({}),
        ),
        case(
            "two contents have one version",
            bundles(),
            taken,
            409,
            "version-taken",
            json!({ "winner": { "signer": "bert", "sha256": f.second.to_string() } }),
        ),
        case(
            "a command builds on a revision that is no longer in force",
            format!("/v1/bundles/{}/sign-off", f.second),
            f.anna.command("c5", 0, Right::SignOff, &f.second),
            409,
            "revision-moved",
            json!({ "revision": 1,
                "winner": { "signer": "anna", "sha256": f.first.to_string() } }),
        ),
        case(
            "a command id is used for two commands",
            format!("/v1/bundles/{}/sign-off", f.second),
            f.anna.command("roll-0", 1, Right::SignOff, &f.second),
            409,
            "command-id-reused",
            json!({ "field": "command_id" }),
        ),
        case(
            "a malformed digest in the path stops the host",
            "/v1/bundles/xyz/roll".to_owned(),
            f.anna.command("c6", 1, Right::Roll, &f.second),
            400,
            "digest-invalid",
            json!({ "field": "sha256" }),
        ),
        case(
            "a misspelt member is ignored",
            format!("/v1/bundles/{}/roll", f.second),
            with_member(f.anna.command("c7", 1, Right::Roll, &f.second), "expected", 1.into()),
            400,
            "command-malformed",
            json!({ "field": "body" }),
        ),
    ]
}

/// Guards against unauthorized or invalid commands that take effect, and against refusals that don't report
/// the reason.
#[test]
fn refused_commands_change_nothing_and_report_the_reason() {
    let f = fixture();
    let before = f.host.get(&f.anna, "/v1/bundles").body;
    for case in signature_cases(&f).into_iter().chain(content_cases(&f)) {
        let answer = f.host.post(&case.target, &case.body);
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(answer.body["type"], case.kind, "{}: {answer:?}", case.name);
        assert_eq!(answer.body["status"], case.status, "{}: {answer:?}", case.name);
        for (member, value) in case.members.as_object().unwrap() {
            assert_eq!(&answer.body[member], value, "{}: {answer:?}", case.name);
        }
    }
    assert_eq!(f.host.get(&f.anna, "/v1/bundles").body, before);
}

/// Guards against a retry after a lost answer that executes the command again or loses its outcome: it
/// returns the recorded reply, even if another revision is in force by then.
#[test]
fn a_retried_command_returns_its_first_reply() {
    let f = fixture();
    let sign_off = f.anna.command("again-1", 1, Right::SignOff, &f.second);
    let roll = f.anna.command("again-2", 1, Right::Roll, &f.second);
    let base = format!("/v1/bundles/{}", f.second);
    f.host.post(&format!("{base}/sign-off"), &sign_off);
    let first = f.host.post(&format!("{base}/roll"), &roll);
    let expected = json!({ "done": "rolled", "sha256": f.second.to_string(), "revision": 2 });
    assert_eq!((first.status, &first.body), (200, &expected));
    f.host.roll(&f.anna, 2, &bundle("v3", &[&f.anna]));
    let again = f.host.post(&format!("{base}/roll"), &roll);
    assert_eq!((again.status, &again.body), (200, &expected));
    assert_eq!(f.host.get(&f.anna, "/v1/bundles").body["revision"], 3);
}

/// Guards against two concurrent rolls that both succeed: exactly one does, and the refusal of the other
/// names the winner and its content.
#[test]
fn exactly_one_of_two_concurrent_rolls_succeeds() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let carl = Operator::new("carl", 3, ALL_RIGHTS);
    let host = AdminHost::single(&[&anna, &carl]);
    for expected in 0..5 {
        let racers = [&anna, &carl].map(|operator| {
            let content = bundle(&format!("{}-{expected}", operator.name), &[&anna, &carl]);
            let digest = Sha256Digest::of(content.as_bytes());
            let id = |step: &str| format!("{}-{step}-{expected}", operator.name);
            let submitted = operator.submission(&id("submit"), expected, &content);
            assert_eq!(host.post("/v1/bundles", &submitted).status, 200);
            let sign_off = operator.command(&id("sign-off"), expected, Right::SignOff, &digest);
            assert_eq!(host.post(&format!("/v1/bundles/{digest}/sign-off"), &sign_off).status, 200);
            (digest, operator.command(&id("roll"), expected, Right::Roll, &digest))
        });
        let answers = std::thread::scope(|scope| {
            let post = |(digest, body): &(Sha256Digest, Value)| {
                host.post(&format!("/v1/bundles/{digest}/roll"), body)
            };
            let threads = racers.each_ref().map(|racer| scope.spawn(move || post(racer)));
            threads.map(|thread| thread.join().unwrap())
        });
        let won = answers.iter().position(|a| a.status == 200).unwrap();
        let loser = &answers[1 - won];
        assert_eq!(loser.status, 409, "{answers:?}");
        assert_eq!(loser.body["type"], "revision-moved");
        assert_eq!(loser.body["revision"], expected + 1);
        let name = [anna.name, carl.name][won];
        let winner = json!({ "signer": name, "sha256": racers[won].0.to_string() });
        assert_eq!(loser.body["winner"], winner);
    }
}

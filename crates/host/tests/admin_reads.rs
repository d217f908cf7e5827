//! Reads of operators over HTTP: authentication, history, content, diff and status.

#[path = "support/admin.rs"]
mod admin;
mod support;

use admin::{ALL_RIGHTS, AdminHost, Operator, bundle, send};
use masticstair_core::prelude::*;
use serde_json::json;

struct Case {
    /// Which failure the case guards against.
    name: &'static str,
    method: &'static str,
    target: &'static str,
    headers: Vec<(&'static str, String)>,
    status: u16,
    kind: &'static str,
    field: &'static str,
}

fn cases(anna: &Operator) -> Vec<Case> {
    let stranger = Operator::new("carl", 3, ALL_RIGHTS);
    let forger = Operator::new("anna", 3, ALL_RIGHTS);
    let status = "/v1/status";
    let case = |name, target, headers, status, kind, field| Case {
        name,
        method: "GET",
        target,
        headers,
        status,
        kind,
        field,
    };
    let mut unsigned = anna.read_headers(status, 0);
    unsigned.remove(2);
    let mut garbled = anna.read_headers(status, 0);
    garbled[1].1 = "yesterday".into();
    let headers_at = |off_ms| anna.read_headers(status, off_ms);
    let headers_for = |target| anna.read_headers(target, 0);
    let expired_kind = "signature-expired";
    let signature = "masticstair-signature";
    vec![
        case("anybody reads", status, vec![], 401, "unauthorized", "masticstair-signer"),
        case("no signature is needed", status, unsigned, 401, "unauthorized", signature),
        case(
            "a malformed time is accepted",
            status,
            garbled,
            401,
            "unauthorized",
            "masticstair-time",
        ),
        case(
            "a stranger reads",
            status,
            stranger.read_headers(status, 0),
            403,
            "signer-unknown",
            "masticstair-signer",
        ),
        case(
            "another key reads under the name of an operator",
            status,
            forger.read_headers(status, 0),
            403,
            "signature-invalid",
            signature,
        ),
        case(
            "a signature is used for another path",
            "/v1/bundles",
            anna.read_headers(status, 0),
            403,
            "signature-invalid",
            signature,
        ),
        case(
            "a signature is used for another query",
            "/v1/bundles?limit=2",
            anna.read_headers("/v1/bundles?limit=1", 0),
            403,
            "signature-invalid",
            signature,
        ),
        case(
            "an old read is replayed",
            status,
            headers_at(-310_000),
            403,
            expired_kind,
            "masticstair-time",
        ),
        case(
            "a read is signed for a later time",
            status,
            headers_at(310_000),
            403,
            expired_kind,
            "masticstair-time",
        ),
        case(
            "a page limit of zero",
            "/v1/bundles?limit=0",
            headers_for("/v1/bundles?limit=0"),
            400,
            "limit-invalid",
            "limit",
        ),
        case(
            "a page limit above the maximum",
            "/v1/bundles?limit=65",
            headers_for("/v1/bundles?limit=65"),
            400,
            "limit-invalid",
            "limit",
        ),
        case(
            "a cursor that is no digest",
            "/v1/bundles?cursor=1",
            headers_for("/v1/bundles?cursor=1"),
            400,
            "digest-invalid",
            "sha256",
        ),
        case(
            "a path that does not exist",
            "/v1/bundles/a/b/c",
            vec![],
            404,
            "path-unknown",
            "path",
        ),
        case(
            "a status path with a further segment",
            "/v1/status/x",
            vec![],
            404,
            "path-unknown",
            "path",
        ),
        Case {
            method: "DELETE",
            ..case("a bundle is deleted", "/v1/bundles", vec![], 404, "path-unknown", "path")
        },
        Case {
            method: "POST",
            ..case("a status is posted", status, vec![], 404, "path-unknown", "path")
        },
    ]
}

/// Guards against reads by anyone but operators, and against replays of signed reads after their validity.
#[test]
fn refused_reads_report_the_reason() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let host = AdminHost::single(&[&anna]);
    for case in cases(&anna) {
        let answer = send(host.addr(), case.method, case.target, &case.headers, "");
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(answer.body["type"], case.kind, "{}: {answer:?}", case.name);
        assert_eq!(answer.body["field"], case.field, "{}: {answer:?}", case.name);
        assert_eq!(answer.body["outcome"], "not_run", "{}: {answer:?}", case.name);
    }
    for off_ms in [-290_000, 290_000] {
        let headers = anna.read_headers("/v1/status", off_ms);
        assert_eq!(send(host.addr(), "GET", "/v1/status", &headers, "").status, 200);
    }
}

/// Guards against bundles that are missing from the pages or listed twice, including while others are
/// submitted.
#[test]
fn pages_list_every_bundle_once() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let host = AdminHost::single(&[&anna]);
    let submit = |n: u32| {
        let content = bundle(&format!("v{n}"), &[&anna]);
        assert_eq!(
            host.post("/v1/bundles", &anna.submission(&n.to_string(), 0, &content)).status,
            200
        );
    };
    (0..7).for_each(submit);
    let mut versions = Vec::new();
    let mut target = "/v1/bundles?limit=3".to_owned();
    let mut pages = 0;
    loop {
        let page = host.get(&anna, &target);
        assert_eq!(page.status, 200, "{page:?}");
        let bundles = page.body["bundles"].as_array().unwrap();
        versions.extend(bundles.iter().map(|b| b["version"].as_str().unwrap().to_owned()));
        pages += 1;
        submit(100 + pages);
        let Some(cursor) = page.body["next_cursor"].as_str() else { break };
        target = format!("/v1/bundles?limit=3&cursor={cursor}");
    }
    assert_eq!(pages, 3);
    assert_eq!(versions, ["v6", "v5", "v4", "v3", "v2", "v1", "v0"]);
    let gone = format!("/v1/bundles?cursor={}", Sha256Digest::of(b"gone"));
    let answer = host.get(&anna, &gone);
    assert_eq!((answer.status, &answer.body["type"]), (410, &json!("cursor-gone")));
}

/// Guards against returning content that differs from the submitted one, and against a diff that omits
/// changes.
#[test]
fn content_and_diff_match_the_submitted_bundle() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let host = AdminHost::single(&[&anna]);
    let other = bundle("v2", &[&anna]).replace("concurrency = 1000", "concurrency = 5");
    let other = other.replace("[[services]]\nname = \"stock\"", "[[services]]\nname = \"shelf\"");
    let other = other.replace("pool = \"stock\"", "pool = \"shelf\"");
    let digest = Sha256Digest::of(other.as_bytes());
    let target = format!("/v1/bundles/{digest}/diff");
    assert_eq!(host.get(&anna, &target).body["type"], "no-bundle");
    let first = host.roll(&anna, 0, &bundle("v1", &[&anna]));
    assert_eq!(host.get(&anna, &target).body["type"], "bundle-unknown");
    assert_eq!(host.post("/v1/bundles", &anna.submission("s", 1, &other)).status, 200);
    let content = host.get(&anna, &format!("/v1/bundles/{digest}"));
    assert_eq!(content.body, json!({ "sha256": digest.to_string(), "content": other }));
    let diff = host.get(&anna, &target);
    assert_eq!(
        diff.body,
        json!({
            "from": { "revision": 1, "version": "v1", "sha256": first.to_string() },
            "to": { "version": "v2", "sha256": digest.to_string() },
            "tables": [
                { "table": "version", "added": [], "removed": [], "changed": ["version"] },
                { "table": "services", "added": ["shelf"], "removed": ["stock"], "changed": [] },
                { "table": "pipelines", "added": [], "removed": [], "changed": ["lookup"] },
                { "table": "accounts", "added": [], "removed": [], "changed": ["a"] },
            ],
        })
    );
}

/// Guards against a status that depends on the host that answers, against commands that only a voter accepts,
/// and against a report of a revision that a host doesn't hold.
#[test]
fn any_host_accepts_commands_and_returns_the_whole_status() {
    let anna = Operator::new("anna", 1, ALL_RIGHTS);
    let first = AdminHost::start("h1", true, "initial_voters = [\"h1\"]\n", &[&anna]);
    let seeds = format!("seeds = [\"{}\"]\n", first.peer_addr);
    let others = ["h2", "h3"].map(|name| AdminHost::start(name, false, &seeds, &[&anna]));
    for host in &others {
        host.wait_for(&anna, |status| {
            status["confirmed"] == true && status["hosts"].as_array().unwrap().len() == 3
        });
    }
    others[1].roll(&anna, 0, &bundle("v1", &[&anna]));
    for host in [&others[0], &others[1], &first] {
        let status = host.wait_for(&anna, |status| {
            let hosts = status["hosts"].as_array().unwrap();
            hosts.iter().all(|h| h["revision"] == 1 && h["lags"] == false)
        });
        let names: Vec<_> =
            status["hosts"].as_array().unwrap().iter().map(|h| &h["host"]).collect();
        assert_eq!(names, ["h1", "h2", "h3"]);
        assert_eq!(status["leader"], "h1");
        assert_eq!(status["revision"], 1);
        let voter = &status["voters"][0];
        assert_eq!(voter["host"], "h1");
        assert_eq!(voter["matched"], status["last"], "{status}");
        let empty = "Pool engines has no endpoint.";
        assert!(status["unhealthy"].to_string().contains(empty), "{status}");
    }
}

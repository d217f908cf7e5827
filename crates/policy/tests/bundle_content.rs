//! The content of bundles: validation, limits, changes, signatures and differences.

#![allow(clippy::unwrap_used)]

#[path = "support/history_fixture.rs"]
mod history_fixture;
mod support;

use history_fixture::HistoryFixture;
use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{
    BundleAction, BundleEntry, BundleOutcome, BundleRefusal, BundleReply, ContentChange,
    ContentPart, HistoryParts, MAX_CONTENT_SIZE, MAX_ENTRIES, MAX_REVISIONS, MAX_STORED_CONTENTS,
    PartsError, RevisionEntry, diff_bundles,
};
use proptest::prelude::*;
use std::sync::Arc;
use support::{bundle_text, deployment};

/// Guards against invalid content, and against a refusal that omits errors or differs when the command is
/// resent.
#[test]
fn invalid_content_is_refused_with_every_error() {
    struct Case {
        name: &'static str,
        text: String,
        errors: &'static [&'static str],
    }
    let w = HistoryFixture::new();
    let good = w.text("v1");
    let cases = [
        Case { name: "syntax", text: "version = ".into(), errors: &["TOML parse error"] },
        Case {
            name: "two errors",
            text: format!("{}[limits]\nhosts = 0\n", good.replace("concurrency = 50", "size = 1")),
            errors: &["accounts[0].concurrency", "accounts[0].size", "limits.hosts"],
        },
        Case {
            name: "no signer can replace it",
            text: "version = \"v1\"\n".into(),
            errors: &["right submit", "right sign-off", "right roll"],
        },
    ];
    for Case { name, text, errors } in cases {
        let mut w = HistoryFixture::new();
        let cmd = w.anna.command("1", 0, BundleAction::Submit(text.into()));
        let reply = w.history.apply(&cmd);
        let BundleReply::Refused(BundleRefusal::Invalid { errors: found, total }) = &reply else {
            panic!("{name}: {reply:?}");
        };
        assert_eq!(
            (found.len(), *total as usize),
            (errors.len(), errors.len()),
            "{name}: {found:?}"
        );
        assert!(errors.iter().all(|e| found.iter().any(|f| f.contains(e))), "{name}: {found:?}");
        assert_eq!(w.history.apply(&cmd), reply, "{name}, resent");
        let other = w.submit(&w.anna, "1", 0, "v1");
        let reused =
            matches!(w.history.apply(&other), BundleReply::Refused(BundleRefusal::IdReused { .. }));
        assert!(reused, "{name}, id reused");
    }
}

/// Guards against content of unlimited size in the replicated state.
#[test]
fn content_above_the_limit_is_refused() {
    let mut w = HistoryFixture::new();
    let text = "#".repeat(MAX_CONTENT_SIZE.get() as usize + 1);
    let cmd = w.anna.command("1", 0, BundleAction::Submit(text.into()));
    let size = ByteCount::new(MAX_CONTENT_SIZE.get() + 1);
    let refusal = BundleRefusal::TooLarge { size, limit: MAX_CONTENT_SIZE };
    assert_eq!(w.history.apply(&cmd), BundleReply::Refused(refusal));
}

/// Guards against unlimited stored contents, and against the removal of the one in force.
#[test]
fn only_the_last_contents_are_stored() {
    let mut w = HistoryFixture::new();
    w.apply_all(&w.roll_out(0, "v0"));
    for i in 1..=MAX_STORED_CONTENTS {
        let reply = w.history.apply(&w.submit(&w.anna, &format!("s{i}"), 1, &format!("v{i}")));
        assert!(matches!(reply, BundleReply::Submitted { .. }), "{reply:?}");
    }
    let kept = |w: &HistoryFixture, version: &str| w.history.content(&w.digest(version)).is_some();
    assert_eq!([kept(&w, "v0"), kept(&w, "v1"), kept(&w, "v2")], [true, false, true]);
    assert_eq!(w.history.find(&w.digest("v0")).unwrap().outcome, BundleOutcome::Rolled(1.into()));
    let dropped = BundleReply::Refused(BundleRefusal::ContentDropped(w.digest("v1")));
    assert_eq!(w.history.apply(&w.sign_off(&w.bert, "x", 1, "v1")), dropped);
    let again = w.submit(&w.bert, "y", 1, "v1");
    assert_eq!(w.history.apply(&again), w.submitted(&w.bert, "v1"));
    assert!(kept(&w, "v1"));
}

/// Guards against a history that grows without limit, and against the removal of its newest part.
#[test]
fn the_history_is_bounded() {
    let mut w = HistoryFixture::new();
    w.apply_all(&w.roll_out(0, "v0"));
    let mut parts = w.parts();
    let (entry, revision) = (parts.entries.remove(0), parts.revisions.remove(0));
    parts.entries = (0..MAX_ENTRIES - 1)
        .map(|i| BundleEntry {
            version: format!("old-{i}").parse().unwrap(),
            digest: Sha256Digest::of(&i.to_be_bytes()),
            chunks: None,
            ..entry.clone()
        })
        .chain([entry.clone()])
        .collect();
    let numbers = 1..=MAX_REVISIONS as u64;
    parts.revisions =
        numbers.map(|n| RevisionEntry { revision: n.into(), ..revision.clone() }).collect();
    w.history = w.history.with_parts(parts).unwrap();
    let current = MAX_REVISIONS as u64;
    assert_eq!(w.apply_all(&w.roll_out(current, "v1")).last(), Some(&w.rolled("v1", current + 1)));
    assert_eq!(w.history.entries().len(), MAX_ENTRIES);
    assert_eq!(w.history.entries().next().unwrap().version.to_string(), "old-1");
    assert_eq!(w.history.revisions().len(), MAX_REVISIONS);
    assert_eq!(w.history.revisions().next().unwrap().revision, Revision::new(2));
}

/// Guards against a snapshot whose tables are inconsistent.
#[test]
fn inconsistent_parts_are_rejected() {
    struct Case {
        name: &'static str,
        alter: fn(&mut HistoryParts),
        error: fn(&PartsError) -> bool,
    }
    let mut w = HistoryFixture::new();
    w.apply_all(&w.roll_out(0, "v1"));
    let cases = [
        Case {
            name: "missing chunk",
            alter: |p| p.chunks.clear(),
            error: |e| matches!(e, PartsError::MissingChunk(_)),
        },
        Case {
            name: "missing content",
            alter: |p| p.entries[0].chunks = None,
            error: |e| matches!(e, PartsError::MissingContent(_)),
        },
        Case {
            name: "other content",
            alter: |p| p.entries[0].chunks = Some([].into()),
            error: |e| matches!(e, PartsError::Unreadable { .. }),
        },
        Case {
            name: "revision twice",
            alter: |p| p.revisions.push(p.revisions[0].clone()),
            error: |e| matches!(e, PartsError::RevisionOrder(_)),
        },
    ];
    for case in cases {
        let mut parts = w.parts();
        (case.alter)(&mut parts);
        let error = w.history.with_parts(parts).unwrap_err();
        assert!((case.error)(&error), "{}: {error}", case.name);
    }
}

/// Guards against a preparsed bundle that is used for other content or that bypasses validation.
#[test]
fn a_preparsed_bundle_changes_no_reply() {
    let parse = |text: &str| Arc::new(text.parse::<Bundle>().unwrap());
    let unsigned = "version = \"v1\"\n";
    let mut w = HistoryFixture::new();
    w.history.set_preparsed(parse(&w.text("v2")));
    assert_eq!(w.history.apply(&w.submit(&w.anna, "1", 0, "v1")), w.submitted(&w.anna, "v1"));
    w.history.set_preparsed(parse(&w.text("v2")));
    assert_eq!(w.history.apply(&w.submit(&w.anna, "2", 0, "v2")), w.submitted(&w.anna, "v2"));
    w.history.set_preparsed(parse(unsigned));
    let reply = w.history.apply(&w.anna.command("3", 0, BundleAction::Submit(unsigned.into())));
    assert!(matches!(reply, BundleReply::Refused(BundleRefusal::Invalid { total: 3, .. })));
}

/// Guards against a revision that is put in force with signatures by others or for another revision.
#[test]
fn a_revision_verifies_its_signatures() {
    struct Case {
        name: &'static str,
        alter: fn(&mut RevisionEntry),
        good: bool,
    }
    let mut w = HistoryFixture::new();
    let signers = w.history.signers().to_vec();
    w.apply_all(&w.roll_out(0, "v1"));
    let cases = [
        Case { name: "as rolled", alter: |_| {}, good: true },
        Case { name: "no sign-off", alter: |r| r.sign_offs.clear(), good: false },
        Case { name: "later revision", alter: |r| r.revision = 2.into(), good: false },
        Case { name: "other content", alter: |r| r.digest = Sha256Digest::of(b""), good: false },
        Case {
            name: "roll by another",
            alter: |r| r.roll.signer = "bert".parse().unwrap(),
            good: false,
        },
        Case { name: "sign-off as roll", alter: |r| r.roll = r.sign_offs[0].clone(), good: false },
    ];
    for case in cases {
        let mut revision = w.history.revisions().next_back().unwrap().clone();
        (case.alter)(&mut revision);
        assert_eq!(revision.verify(&deployment(), &signers).is_ok(), case.good, "{}", case.name);
    }
}

/// Guards against a diff that omits a table or an entry.
#[test]
fn a_diff_lists_tables_and_entries() {
    let w = HistoryFixture::new();
    let old: Bundle = bundle_text("v1", &[&w.anna, &w.bert], 3).parse().unwrap();
    let text = bundle_text("v2", &[&w.anna, &w.carl], 4).replacen("burst = 200", "burst = 201", 1);
    let new: Bundle = format!("{text}[limits]\nhosts = 9\n").parse().unwrap();
    let found = diff_bundles(&old, &new).into_iter().map(|d| {
        let list = |names: Vec<Box<str>>| names.join(" ");
        [d.table.into(), list(d.added), list(d.removed), list(d.changed)]
    });
    let expected = [
        ["version", "", "", "version"],
        ["signers", "carl", "bert", ""],
        ["accounts", "account-00003", "", "account-00000"],
        ["limits", "", "", "limits"],
    ];
    assert_eq!(found.collect::<Vec<_>>(), expected);
    assert!(diff_bundles(&old, &old).is_empty());
}

proptest! {
    /// Guards against a change that produces other content, or none for content with repeated lines.
    #[test]
    fn a_change_produces_its_content(base in "([a-d]{0,300}\n){0,40}", cuts in prop::collection::vec((0..9_000_usize, 0..900_usize, "[é\n]{0,9}"), 0..4)) {
        let mut new = base.clone();
        for (at, len, text) in cuts {
            let boundary = |i: usize| (0..=i.min(new.len())).rev().find(|i| new.is_char_boundary(*i));
            let (start, end) = (boundary(at).unwrap(), boundary(at + len).unwrap());
            new.replace_range(start..end, &text);
        }
        let change = ContentChange::between(&base, &new);
        prop_assert_eq!(change.apply(&base), Some(new.into()));
    }

    /// Guards against a panic on a change whose parts do not fit the base.
    #[test]
    fn a_mismatched_change_is_refused(parts in prop::collection::vec((any::<u64>(), 0..9_u64, 0..9_u64), 1..5)) {
        let part = |(far, offset, length): (u64, u64, u64)| {
            let offset = if far % 2 == 0 { offset } else { far };
            ContentPart::Base { offset: offset.into(), length: length.into() }
        };
        let parts = parts.into_iter().map(part).collect();
        let digest = Sha256Digest::of(b"never");
        prop_assert_eq!(ContentChange { base: digest, digest, parts }.apply("äöü"), None);
    }
}

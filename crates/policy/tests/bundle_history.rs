//! The rules for bundle commands: section 7 of the design page, and the rows on operators in its section 6.

#![allow(clippy::unwrap_used)]

#[path = "support/history_fixture.rs"]
mod history_fixture;
mod support;

use history_fixture::HistoryFixture;
use masticstair_core::bundle::Right;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{
    BundleAction, BundleCommand, BundleRefusal, BundleReply, ContentChange, MAX_RECORDED_REPLIES,
    RecordedReply,
};
use proptest::prelude::*;
use support::{Operator, bundle_text};

struct Case {
    name: &'static str,
    before: Vec<BundleCommand>,
    cmd: BundleCommand,
    reply: BundleReply,
}

fn concat(
    mut cmds: Vec<BundleCommand>,
    more: impl IntoIterator<Item = BundleCommand>,
) -> Vec<BundleCommand> {
    cmds.extend(more);
    cmds
}

#[rustfmt::skip]
fn race_cases(w: &HistoryFixture) -> Vec<Case> {
    let (a, b) = (&w.anna, &w.bert);
    let both = vec![w.submit(a, "1", 0, "v1"), w.submit(b, "2", 0, "v2"), w.sign_off(b, "3", 0, "v1"), w.sign_off(a, "4", 0, "v2"), w.roll(a, "5", 0, "v1")];
    let other_v1: Box<str> = bundle_text("v1", &[a, b], 2).into();
    let other_digest = Sha256Digest::of(other_v1.as_bytes());
    let reused = |kind, by, version| BundleReply::Refused(BundleRefusal::IdReused { id: "x".parse().unwrap(), kind, origin: w.origin(by, version) });
    vec![
        Case { name: "roll wins the race", before: both[..4].to_vec(), cmd: both[4].clone(), reply: w.rolled("v1", 1) },
        Case { name: "roll loses the race", before: both.clone(), cmd: w.roll(b, "6", 0, "v2"), reply: w.revision_moved(0, 1, Some(w.origin(a, "v1"))) },
        Case { name: "equal version loses", before: vec![w.submit(a, "1", 0, "v1")], cmd: b.command("2", 0, BundleAction::Submit(other_v1)), reply: BundleReply::Refused(BundleRefusal::VersionTaken { version: "v1".parse().unwrap(), origin: w.origin(a, "v1") }) },
        Case { name: "equal content is no race", before: vec![w.submit(a, "1", 0, "v1")], cmd: w.submit(b, "2", 0, "v1"), reply: w.submitted(a, "v1") },
        Case { name: "loser's content is unknown", before: vec![w.submit(a, "1", 0, "v1")], cmd: b.command("2", 0, BundleAction::SignOff(other_digest)), reply: BundleReply::Refused(BundleRefusal::UnknownBundle(other_digest)) },
        Case { name: "expected ahead of the first roll", before: vec![], cmd: w.submit(a, "1", 3, "v1"), reply: w.revision_moved(3, 0, None) },
        Case { name: "lost reply to a roll", before: both.clone(), cmd: both[4].clone(), reply: w.rolled("v1", 1) },
        Case { name: "lost reply to a roll before the last one", before: concat(both.clone(), w.roll_out(1, "v3")), cmd: both[4].clone(), reply: w.rolled("v1", 1) },
        Case { name: "lost refusal", before: vec![w.submit(a, "1", 0, "v1"), w.roll(a, "2", 0, "v1"), w.sign_off(b, "3", 0, "v1")], cmd: w.roll(a, "2", 0, "v1"), reply: w.not_signed_off("v1", 1) },
        Case { name: "id reused for other content", before: vec![w.submit(a, "x", 0, "v1")], cmd: w.submit(a, "x", 0, "v2"), reply: reused(Right::Submit, a, "v1") },
        Case { name: "id reused for another kind", before: vec![w.submit(a, "x", 0, "v1")], cmd: w.sign_off(a, "x", 0, "v1"), reply: reused(Right::Submit, a, "v1") },
        Case { name: "lost reply, resent as a change", before: vec![w.submit(a, "0", 0, "v0"), w.submit(a, "1", 0, "v1")], cmd: w.submit_change(a, "1", 0, "v0", "v1"), reply: w.submitted(a, "v1") },
        Case { name: "id reused by another operator", before: vec![w.submit(a, "x", 0, "v1")], cmd: w.submit(b, "x", 0, "v1"), reply: reused(Right::Submit, a, "v1") },
    ]
}

#[rustfmt::skip]
fn rule_cases(w: &HistoryFixture) -> Vec<Case> {
    use BundleRefusal::{BadSignature, ChangeMismatch, NoRight, UnknownBundle, UnknownSigner};
    let (a, b, c, d) = (&w.anna, &w.bert, &w.carl, &w.dora);
    let name = |o: &Operator| o.name.parse().unwrap();
    let submit = BundleAction::Submit(w.text("v1"));
    let refused = BundleReply::Refused;
    let mut forged = w.submit(d, "1", 0, "v1");
    forged.header.signer = name(a);
    let mut altered = w.submit(a, "1", 0, "v1");
    altered.header.expected = Revision::new(1);
    let mut change = ContentChange::between(&w.text("v0"), &w.text("v1"));
    change.parts = Box::default();
    let damaged = a.command("2", 0, BundleAction::SubmitChange(change));
    let stale = concat(vec![w.submit(a, "1", 0, "v1"), w.sign_off(b, "2", 0, "v1")], w.roll_out(0, "v2"));
    vec![
        Case { name: "unknown signer", before: vec![], cmd: w.submit(d, "1", 0, "v1"), reply: refused(UnknownSigner(name(d))) },
        Case { name: "no right to sign off", before: vec![w.submit(c, "1", 0, "v1")], cmd: w.sign_off(c, "2", 0, "v1"), reply: refused(NoRight { signer: name(c), right: Right::SignOff }) },
        Case { name: "no right to roll", before: vec![], cmd: w.roll(c, "2", 0, "v1"), reply: refused(NoRight { signer: name(c), right: Right::Roll }) },
        Case { name: "another operator's key", before: vec![], cmd: forged.clone(), reply: refused(BadSignature(name(a))) },
        Case { name: "altered after signing", before: vec![], cmd: altered, reply: refused(BadSignature(name(a))) },
        Case { name: "signed for another deployment", before: vec![], cmd: a.command_for(&"prod".parse().unwrap(), "1", 0, submit), reply: refused(BadSignature(name(a))) },
        Case { name: "a forged command occupies no id", before: vec![forged], cmd: w.submit(a, "1", 0, "v1"), reply: w.submitted(a, "v1") },
        Case { name: "own sign-off", before: vec![w.submit(a, "1", 0, "v1")], cmd: w.sign_off(a, "2", 0, "v1"), reply: w.signed_off("v1", 1) },
        Case { name: "sign-off of unknown content", before: vec![], cmd: w.sign_off(a, "1", 0, "v1"), reply: refused(UnknownBundle(w.digest("v1"))) },
        Case { name: "roll without a sign-off", before: vec![w.submit(a, "1", 0, "v1")], cmd: w.roll(a, "2", 0, "v1"), reply: w.not_signed_off("v1", 1) },
        Case { name: "sign-off before another roll", before: stale.clone(), cmd: w.roll(a, "3", 1, "v1"), reply: w.not_signed_off("v1", 2) },
        Case { name: "sign-off again after another roll", before: concat(stale, [w.sign_off(b, "4", 1, "v1")]), cmd: w.roll(a, "3", 1, "v1"), reply: w.rolled("v1", 2) },
        Case { name: "change of a stored content", before: vec![w.submit(a, "1", 0, "v0")], cmd: w.submit_change(b, "2", 0, "v0", "v1"), reply: w.submitted(b, "v1") },
        Case { name: "change of an unknown content", before: vec![], cmd: w.submit_change(a, "1", 0, "v0", "v1"), reply: refused(ChangeMismatch(w.digest("v0"))) },
        Case { name: "whole content after a mismatch", before: vec![w.submit_change(a, "1", 0, "v0", "v1")], cmd: w.submit(a, "1", 0, "v1"), reply: w.submitted(a, "v1") },
        Case { name: "change that produces other content", before: vec![w.submit(a, "1", 0, "v0")], cmd: damaged, reply: refused(ChangeMismatch(w.digest("v0"))) },
        Case { name: "rollback is a new revision", before: concat(concat(w.roll_out(0, "v1"), w.roll_out(1, "v2")), [w.sign_off(b, "x", 2, "v1")]), cmd: w.roll(a, "y", 2, "v1"), reply: w.rolled("v1", 3) },
        Case { name: "signers come from the bundle in force", before: w.roll_out(0, "v1"), cmd: w.submit(c, "x", 1, "v2"), reply: refused(UnknownSigner(name(c))) },
    ]
}

/// Guards against two winners of a race, a second effect of a resent command, and a command that is accepted
/// without the right, the signature or the sign-off that it needs.
#[test]
fn every_command_has_its_reply() {
    let setup = HistoryFixture::new();
    for case in race_cases(&setup).into_iter().chain(rule_cases(&setup)) {
        let mut fixture = HistoryFixture::new();
        fixture.apply_all(&case.before);
        assert_eq!(fixture.history.apply(&case.cmd), case.reply, "{}", case.name);
    }
}

/// Guards against a second effect of a command that is resent after its recorded reply was removed.
#[test]
fn a_command_without_its_recorded_reply_has_no_second_effect() {
    let mut w = HistoryFixture::new();
    let cmds = w.roll_out(0, "v1");
    w.apply_all(&cmds);
    let mut parts = w.parts();
    let first = parts.replies[0].clone();
    let filler = |i| RecordedReply { id: format!("f{i}").parse().unwrap(), ..first.clone() };
    parts.replies.extend((0..MAX_RECORDED_REPLIES).map(filler));
    w.history = w.history.with_parts(parts).unwrap();
    assert_eq!(w.history.replies().count(), MAX_RECORDED_REPLIES);
    let moved = w.revision_moved(0, 1, Some(w.origin(&w.anna, "v1")));
    assert_eq!(w.apply_all(&cmds), [moved.clone(), moved.clone(), moved]);
    assert_eq!(w.history.revision(), Revision::new(1));
}

/// A kind of command, an operator, the lag of its expected revision, a version and an id.
type Step = (u8, usize, u64, usize, u8);

fn step() -> impl Strategy<Value = Step> {
    let lag = prop_oneof![4 => Just(0), 1 => 1..3_u64];
    (0..3_u8, 0..2_usize, lag, 0..2_usize, 0..12_u8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against a revision that decreases, is skipped or is assigned twice, for any sequence of
    /// commands and resent commands.
    #[test]
    fn revisions_only_increase(steps in prop::collection::vec(step(), 1..30)) {
        let mut w = HistoryFixture::new();
        for (kind, by, lag, version, id) in steps {
            let before = w.history.revision().get();
            let (by, expected) = ([&w.anna, &w.bert][by], before.saturating_sub(lag));
            let (id, version) = (format!("{id}-{kind}"), ["v0", "v1"][version]);
            let cmd = match kind {
                0 => w.submit(by, &id, expected, version),
                1 => w.sign_off(by, &id, expected, version),
                _ => w.roll(by, &id, expected, version),
            };
            let known = w.history.replies().any(|r| r.id == cmd.header.id);
            let rolled = matches!(w.history.apply(&cmd), BundleReply::Rolled { .. }) && !known;
            prop_assert_eq!(w.history.revision().get(), before + u64::from(rolled));
        }
    }
}

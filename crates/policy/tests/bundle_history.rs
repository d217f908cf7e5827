//! The rules of section 7 and the rows about operators in section 6 of the design page.

#![allow(clippy::unwrap_used)]

mod support;

use masticstair_core::bundle::{Bundle, Right};
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{
    BundleAction, BundleCommand, BundleHistory, BundleOutcome, BundleRefusal, BundleReply,
    HistoryParts, MAX_CONTENT, MAX_CONTENTS, MAX_REPLIES, Origin, RecordedReply, RevisionEntry,
    diff_bundles,
};
use proptest::prelude::*;
use support::{Operator, bundle_text, deployment};

const ALL: [Right; 3] = [Right::Submit, Right::SignOff, Right::Roll];

/// Anna and Bert may do everything; Carl may only submit; Dora is unknown.
struct World {
    anna: Operator,
    bert: Operator,
    carl: Operator,
    dora: Operator,
    history: BundleHistory,
}

struct Case {
    name: &'static str,
    before: Vec<BundleCommand>,
    cmd: BundleCommand,
    reply: BundleReply,
}

impl World {
    fn new() -> Self {
        let [anna, bert] = [Operator::new("anna", 1), Operator::new("bert", 2)];
        let [carl, dora] = [Operator::new("carl", 3), Operator::new("dora", 4)];
        let signers = [anna.signer(&ALL), bert.signer(&ALL), carl.signer(&[Right::Submit])];
        let history = BundleHistory::new(deployment(), signers.into());
        Self { anna, bert, carl, dora, history }
    }

    /// A bundle whose signers are Anna and Bert.
    fn text(&self, version: &str) -> Box<str> {
        bundle_text(version, &[&self.anna, &self.bert], 1).into()
    }

    fn digest(&self, version: &str) -> Sha256Digest {
        Sha256Digest::of(self.text(version).as_bytes())
    }

    fn submit(&self, by: &Operator, id: &str, expected: u64, version: &str) -> BundleCommand {
        by.command(id, expected, BundleAction::Submit(self.text(version)))
    }

    fn sign_off(&self, by: &Operator, id: &str, expected: u64, version: &str) -> BundleCommand {
        by.command(id, expected, BundleAction::SignOff(self.digest(version)))
    }

    fn roll(&self, by: &Operator, id: &str, expected: u64, version: &str) -> BundleCommand {
        by.command(id, expected, BundleAction::Roll(self.digest(version)))
    }

    /// The three commands that bring a version into force.
    fn bring(&self, expected: u64, version: &str) -> Vec<BundleCommand> {
        let id = |kind| format!("{version}-{expected}-{kind}");
        vec![
            self.submit(&self.anna, &id("submit"), expected, version),
            self.sign_off(&self.bert, &id("sign-off"), expected, version),
            self.roll(&self.anna, &id("roll"), expected, version),
        ]
    }

    fn apply_all(&mut self, cmds: &[BundleCommand]) -> Vec<BundleReply> {
        cmds.iter().map(|cmd| self.history.apply(cmd)).collect()
    }

    fn origin(&self, by: &Operator, version: &str) -> Origin {
        Origin { by: by.name.parse().unwrap(), digest: self.digest(version) }
    }

    fn submitted(&self, by: &Operator, version: &str) -> BundleReply {
        let by = by.name.parse().unwrap();
        BundleReply::Submitted {
            version: version.parse().unwrap(),
            digest: self.digest(version),
            by,
        }
    }

    fn signed_off(&self, version: &str, next: u64) -> BundleReply {
        BundleReply::SignedOff { digest: self.digest(version), next: Revision::new(next) }
    }

    fn rolled(&self, version: &str, revision: u64) -> BundleReply {
        BundleReply::Rolled { digest: self.digest(version), revision: Revision::new(revision) }
    }

    fn moved(&self, expected: u64, current: u64, winner: Option<Origin>) -> BundleReply {
        let (expected, current) = (Revision::new(expected), Revision::new(current));
        BundleReply::Refused(BundleRefusal::RevisionMoved { expected, current, winner })
    }

    fn not_signed_off(&self, version: &str, next: u64) -> BundleReply {
        let (digest, next) = (self.digest(version), Revision::new(next));
        BundleReply::Refused(BundleRefusal::NotSignedOff { digest, next })
    }

    /// The parts of the history, as a snapshot holds them.
    fn parts(&self) -> HistoryParts {
        HistoryParts {
            entries: self.history.entries().cloned().collect(),
            revisions: self.history.revisions().cloned().collect(),
            pieces: self.history.pieces().map(Into::into).collect(),
            replies: self.history.replies().cloned().collect(),
        }
    }
}

fn plus(
    mut cmds: Vec<BundleCommand>,
    more: impl IntoIterator<Item = BundleCommand>,
) -> Vec<BundleCommand> {
    cmds.extend(more);
    cmds
}

#[rustfmt::skip]
fn race_cases(w: &World) -> Vec<Case> {
    let (a, b) = (&w.anna, &w.bert);
    let both = vec![w.submit(a, "1", 0, "v1"), w.submit(b, "2", 0, "v2"), w.sign_off(b, "3", 0, "v1"), w.sign_off(a, "4", 0, "v2"), w.roll(a, "5", 0, "v1")];
    let other_v1: Box<str> = bundle_text("v1", &[a, b], 2).into();
    let other_digest = Sha256Digest::of(other_v1.as_bytes());
    let reused = |kind, by, version| BundleReply::Refused(BundleRefusal::IdReused { id: "x".parse().unwrap(), kind, origin: w.origin(by, version) });
    vec![
        Case { name: "roll wins the race", before: both[..4].to_vec(), cmd: both[4].clone(), reply: w.rolled("v1", 1) },
        Case { name: "roll loses the race", before: both.clone(), cmd: w.roll(b, "6", 0, "v2"), reply: w.moved(0, 1, Some(w.origin(a, "v1"))) },
        Case { name: "equal version loses", before: vec![w.submit(a, "1", 0, "v1")], cmd: b.command("2", 0, BundleAction::Submit(other_v1)), reply: BundleReply::Refused(BundleRefusal::VersionTaken { version: "v1".parse().unwrap(), origin: w.origin(a, "v1") }) },
        Case { name: "equal content is no race", before: vec![w.submit(a, "1", 0, "v1")], cmd: w.submit(b, "2", 0, "v1"), reply: w.submitted(a, "v1") },
        Case { name: "loser's content is unknown", before: vec![w.submit(a, "1", 0, "v1")], cmd: b.command("2", 0, BundleAction::SignOff(other_digest)), reply: BundleReply::Refused(BundleRefusal::UnknownBundle(other_digest)) },
        Case { name: "expected ahead of the first roll", before: vec![], cmd: w.submit(a, "1", 3, "v1"), reply: w.moved(3, 0, None) },
        Case { name: "lost answer of a roll", before: both.clone(), cmd: both[4].clone(), reply: w.rolled("v1", 1) },
        Case { name: "lost answer after the next roll", before: plus(both.clone(), w.bring(1, "v3")), cmd: both[4].clone(), reply: w.rolled("v1", 1) },
        Case { name: "lost answer of a refusal", before: vec![w.submit(a, "1", 0, "v1"), w.roll(a, "2", 0, "v1"), w.sign_off(b, "3", 0, "v1")], cmd: w.roll(a, "2", 0, "v1"), reply: w.not_signed_off("v1", 1) },
        Case { name: "id reused for other content", before: vec![w.submit(a, "x", 0, "v1")], cmd: w.submit(a, "x", 0, "v2"), reply: reused(Right::Submit, a, "v1") },
        Case { name: "id reused for another kind", before: vec![w.submit(a, "x", 0, "v1")], cmd: w.sign_off(a, "x", 0, "v1"), reply: reused(Right::Submit, a, "v1") },
        Case { name: "id reused by another operator", before: vec![w.submit(a, "x", 0, "v1")], cmd: w.submit(b, "x", 0, "v1"), reply: reused(Right::Submit, a, "v1") },
    ]
}

#[rustfmt::skip]
fn rule_cases(w: &World) -> Vec<Case> {
    use BundleRefusal::{BadSignature, NoRight, UnknownBundle, UnknownSigner};
    let (a, b, c, d) = (&w.anna, &w.bert, &w.carl, &w.dora);
    let name = |o: &Operator| o.name.parse().unwrap();
    let submit = BundleAction::Submit(w.text("v1"));
    let refused = BundleReply::Refused;
    let mut forged = w.submit(d, "1", 0, "v1");
    forged.header.signer = name(a);
    let mut altered = w.submit(a, "1", 0, "v1");
    altered.header.expected = Revision::new(1);
    let stale = plus(vec![w.submit(a, "1", 0, "v1"), w.sign_off(b, "2", 0, "v1")], w.bring(0, "v2"));
    vec![
        Case { name: "unknown signer", before: vec![], cmd: w.submit(d, "1", 0, "v1"), reply: refused(UnknownSigner(name(d))) },
        Case { name: "no right to sign off", before: vec![w.submit(c, "1", 0, "v1")], cmd: w.sign_off(c, "2", 0, "v1"), reply: refused(NoRight { signer: name(c), right: Right::SignOff }) },
        Case { name: "no right to roll", before: vec![], cmd: w.roll(c, "2", 0, "v1"), reply: refused(NoRight { signer: name(c), right: Right::Roll }) },
        Case { name: "another operator's key", before: vec![], cmd: forged.clone(), reply: refused(BadSignature(name(a))) },
        Case { name: "altered after signing", before: vec![], cmd: altered, reply: refused(BadSignature(name(a))) },
        Case { name: "signed for another deployment", before: vec![], cmd: a.command_for(&"prod".parse().unwrap(), "1", 0, submit), reply: refused(BadSignature(name(a))) },
        Case { name: "a forged command uses up no id", before: vec![forged], cmd: w.submit(a, "1", 0, "v1"), reply: w.submitted(a, "v1") },
        Case { name: "own sign-off", before: vec![w.submit(a, "1", 0, "v1")], cmd: w.sign_off(a, "2", 0, "v1"), reply: w.signed_off("v1", 1) },
        Case { name: "sign-off of unknown content", before: vec![], cmd: w.sign_off(a, "1", 0, "v1"), reply: refused(UnknownBundle(w.digest("v1"))) },
        Case { name: "roll without a sign-off", before: vec![w.submit(a, "1", 0, "v1")], cmd: w.roll(a, "2", 0, "v1"), reply: w.not_signed_off("v1", 1) },
        Case { name: "sign-off before another roll", before: stale.clone(), cmd: w.roll(a, "3", 1, "v1"), reply: w.not_signed_off("v1", 2) },
        Case { name: "sign-off again after another roll", before: plus(stale, [w.sign_off(b, "4", 1, "v1")]), cmd: w.roll(a, "3", 1, "v1"), reply: w.rolled("v1", 2) },
        Case { name: "rollback is a new revision", before: plus(plus(w.bring(0, "v1"), w.bring(1, "v2")), [w.sign_off(b, "x", 2, "v1")]), cmd: w.roll(a, "y", 2, "v1"), reply: w.rolled("v1", 3) },
        Case { name: "signers come from the bundle in force", before: w.bring(0, "v1"), cmd: w.submit(c, "x", 1, "v2"), reply: refused(UnknownSigner(name(c))) },
    ]
}

/// Guards against two winners of a race, a second effect of a resent command, and commands without the
/// right, the signature or the sign-off that they need.
#[test]
fn every_command_has_its_reply() {
    let setup = World::new();
    for case in race_cases(&setup).into_iter().chain(rule_cases(&setup)) {
        let mut world = World::new();
        world.apply_all(&case.before);
        assert_eq!(world.history.apply(&case.cmd), case.reply, "{}", case.name);
    }
}

/// Guards against content that cannot work, and against a refusal that hides errors or changes when the
/// command is resent.
#[test]
fn content_that_cannot_work_is_refused_with_every_error() {
    struct Case {
        name: &'static str,
        text: String,
        errors: &'static [&'static str],
    }
    let w = World::new();
    let good = w.text("v1");
    let cases = [
        Case { name: "syntax", text: "version = ".into(), errors: &["TOML parse error"] },
        Case {
            name: "two errors",
            text: format!("{}[limits]\nhosts = 0\n", good.replace("concurrency = 50", "size = 1")),
            errors: &["accounts[0].concurrency", "accounts[0].size", "limits.hosts"],
        },
        Case {
            name: "nobody can replace it",
            text: "version = \"v1\"\n".into(),
            errors: &["right submit", "right sign-off", "right roll"],
        },
    ];
    for Case { name, text, errors } in cases {
        let mut w = World::new();
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

/// Guards against content of any size in the log's tables.
#[test]
fn content_above_the_bound_is_refused() {
    let mut w = World::new();
    let text = "#".repeat(MAX_CONTENT.get() as usize + 1);
    let cmd = w.anna.command("1", 0, BundleAction::Submit(text.into()));
    let size = ByteCount::new(MAX_CONTENT.get() + 1);
    let refusal = BundleRefusal::TooLarge { size, limit: MAX_CONTENT };
    assert_eq!(w.history.apply(&cmd), BundleReply::Refused(refusal));
}

/// Guards against contents that pile up, and against the loss of the one in force.
#[test]
fn only_the_last_contents_are_kept() {
    let mut w = World::new();
    w.apply_all(&w.bring(0, "v0"));
    for i in 1..=MAX_CONTENTS {
        let reply = w.history.apply(&w.submit(&w.anna, &format!("s{i}"), 1, &format!("v{i}")));
        assert!(matches!(reply, BundleReply::Submitted { .. }), "{reply:?}");
    }
    let kept = |w: &World, version: &str| w.history.content(&w.digest(version)).is_some();
    assert_eq!([kept(&w, "v0"), kept(&w, "v1"), kept(&w, "v2")], [true, false, true]);
    assert_eq!(w.history.find(&w.digest("v0")).unwrap().outcome, BundleOutcome::Rolled(1.into()));
    let dropped = BundleReply::Refused(BundleRefusal::ContentDropped(w.digest("v1")));
    assert_eq!(w.history.apply(&w.sign_off(&w.bert, "x", 1, "v1")), dropped);
    let again = w.submit(&w.bert, "y", 1, "v1");
    assert_eq!(w.history.apply(&again), w.submitted(&w.bert, "v1"));
    assert!(kept(&w, "v1"));
}

/// Guards against a second effect of a command that is resent after its reply was forgotten.
#[test]
fn a_forgotten_reply_does_no_harm() {
    let mut w = World::new();
    let cmds = w.bring(0, "v1");
    w.apply_all(&cmds);
    let mut parts = w.parts();
    let first = parts.replies[0].clone();
    let filler = |i| RecordedReply { id: format!("f{i}").parse().unwrap(), ..first.clone() };
    parts.replies.extend((0..MAX_REPLIES).map(filler));
    w.history = w.history.with_parts(parts).unwrap();
    assert_eq!(w.history.replies().count(), MAX_REPLIES);
    let moved = w.moved(0, 1, Some(w.origin(&w.anna, "v1")));
    assert_eq!(w.apply_all(&cmds), [moved.clone(), moved.clone(), moved]);
    assert_eq!(w.history.revision(), Revision::new(1));
}

/// Guards against a host that puts a revision in force with signatures of others or for another revision.
#[test]
fn a_revision_proves_its_signatures() {
    struct Case {
        name: &'static str,
        alter: fn(&mut RevisionEntry),
        good: bool,
    }
    let mut w = World::new();
    let signers = w.history.signers().to_vec();
    w.apply_all(&w.bring(0, "v1"));
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

/// Guards against a list of changes that misses a table or an entry.
#[test]
fn a_diff_names_tables_and_entries() {
    let w = World::new();
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

/// A kind of command, an operator, how far its expected revision lags, a version and an id.
type Step = (u8, usize, u64, usize, u8);

fn step() -> impl Strategy<Value = Step> {
    let lag = prop_oneof![4 => Just(0), 1 => 1..3_u64];
    (0..3_u8, 0..2_usize, lag, 0..2_usize, 0..12_u8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against a revision that falls, is skipped or is given twice, whatever operators send and
    /// however often.
    #[test]
    fn revisions_only_rise(steps in prop::collection::vec(step(), 1..30)) {
        let mut w = World::new();
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

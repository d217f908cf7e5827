//! A bundle history with its operators. Each test binary uses only a part of it.

#![allow(dead_code)]

use masticstair_core::bundle::Right;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{
    BundleAction, BundleCommand, BundleHistory, BundleRefusal, BundleReply, ContentChange,
    HistoryParts, Origin,
};

use crate::support::{Operator, bundle_text, deployment};

pub const ALL_RIGHTS: [Right; 3] = [Right::Submit, Right::SignOff, Right::Roll];

/// Anna and Bert have all rights; Carl may only submit; Dora is not a signer.
pub struct HistoryFixture {
    pub anna: Operator,
    pub bert: Operator,
    pub carl: Operator,
    pub dora: Operator,
    pub history: BundleHistory,
}

impl HistoryFixture {
    pub fn new() -> Self {
        let [anna, bert] = [Operator::new("anna", 1), Operator::new("bert", 2)];
        let [carl, dora] = [Operator::new("carl", 3), Operator::new("dora", 4)];
        let signers =
            [anna.signer(&ALL_RIGHTS), bert.signer(&ALL_RIGHTS), carl.signer(&[Right::Submit])];
        let history = BundleHistory::new(deployment(), signers.into());
        Self { anna, bert, carl, dora, history }
    }

    /// Returns a bundle whose signers are Anna and Bert.
    pub fn text(&self, version: &str) -> Box<str> {
        bundle_text(version, &[&self.anna, &self.bert], 1).into()
    }

    pub fn digest(&self, version: &str) -> Sha256Digest {
        Sha256Digest::of(self.text(version).as_bytes())
    }

    pub fn submit(&self, by: &Operator, id: &str, expected: u64, version: &str) -> BundleCommand {
        by.command(id, expected, BundleAction::Submit(self.text(version)))
    }

    pub fn submit_change(
        &self,
        by: &Operator,
        id: &str,
        expected: u64,
        base: &str,
        version: &str,
    ) -> BundleCommand {
        let change = ContentChange::between(&self.text(base), &self.text(version));
        by.command(id, expected, BundleAction::SubmitChange(change))
    }

    pub fn sign_off(&self, by: &Operator, id: &str, expected: u64, version: &str) -> BundleCommand {
        by.command(id, expected, BundleAction::SignOff(self.digest(version)))
    }

    pub fn roll(&self, by: &Operator, id: &str, expected: u64, version: &str) -> BundleCommand {
        by.command(id, expected, BundleAction::Roll(self.digest(version)))
    }

    /// Returns the three commands that put a version in force.
    pub fn roll_out(&self, expected: u64, version: &str) -> Vec<BundleCommand> {
        let id = |kind| format!("{version}-{expected}-{kind}");
        vec![
            self.submit(&self.anna, &id("submit"), expected, version),
            self.sign_off(&self.bert, &id("sign-off"), expected, version),
            self.roll(&self.anna, &id("roll"), expected, version),
        ]
    }

    pub fn apply_all(&mut self, cmds: &[BundleCommand]) -> Vec<BundleReply> {
        cmds.iter().map(|cmd| self.history.apply(cmd)).collect()
    }

    pub fn origin(&self, by: &Operator, version: &str) -> Origin {
        Origin { by: by.name.parse().unwrap(), digest: self.digest(version) }
    }

    pub fn submitted(&self, by: &Operator, version: &str) -> BundleReply {
        let by = by.name.parse().unwrap();
        BundleReply::Submitted {
            version: version.parse().unwrap(),
            digest: self.digest(version),
            by,
        }
    }

    pub fn signed_off(&self, version: &str, next: u64) -> BundleReply {
        BundleReply::SignedOff { digest: self.digest(version), next: Revision::new(next) }
    }

    pub fn rolled(&self, version: &str, revision: u64) -> BundleReply {
        BundleReply::Rolled { digest: self.digest(version), revision: Revision::new(revision) }
    }

    pub fn revision_moved(
        &self,
        expected: u64,
        current: u64,
        winner: Option<Origin>,
    ) -> BundleReply {
        let (expected, current) = (Revision::new(expected), Revision::new(current));
        BundleReply::Refused(BundleRefusal::RevisionMoved { expected, current, winner })
    }

    pub fn not_signed_off(&self, version: &str, next: u64) -> BundleReply {
        let (digest, next) = (self.digest(version), Revision::new(next));
        BundleReply::Refused(BundleRefusal::NotSignedOff { digest, next })
    }

    /// Returns the parts of the history as a snapshot stores them.
    pub fn parts(&self) -> HistoryParts {
        HistoryParts {
            entries: self.history.entries().cloned().collect(),
            revisions: self.history.revisions().cloned().collect(),
            chunks: self.history.chunks().map(Into::into).collect(),
            replies: self.history.replies().cloned().collect(),
        }
    }
}

//! Execution of bundle commands whose signature was verified.

use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use std::sync::Arc;

use super::check::{check_rights, parse_content};
use super::{
    BundleEntry, BundleHistory, BundleOutcome, BundleRefusal, BundleReply, ContentChange,
    MAX_ENTRIES, MAX_REVISIONS, MAX_STORED_CONTENTS, RevisionEntry, SignedHeader,
};

impl BundleHistory {
    pub(super) fn submit(
        &mut self,
        header: &SignedHeader,
        content: &str,
        digest: Sha256Digest,
    ) -> Result<BundleReply, BundleRefusal> {
        self.check_revision(header)?;
        if let Some(entry) = self.find(&digest).filter(|e| e.chunks.is_some()) {
            return Ok(submitted(entry));
        }
        let bundle = match self.preparsed.take() {
            Some(bundle) if bundle.digest == digest => bundle,
            _ => Arc::new(parse_content(content)?),
        };
        check_rights(&bundle)?;
        let taken = |e: &&BundleEntry| e.version == bundle.version && e.digest != digest;
        if let Some(other) = self.entries.iter().find(taken) {
            let (version, origin) = (bundle.version.clone(), other.origin());
            return Err(BundleRefusal::VersionTaken { version, origin });
        }
        let entry = self.new_entry(header, content, &bundle);
        let reply = submitted(&entry);
        // Content that was removed gets a new entry in place of its old one.
        self.entries.retain(|e| e.digest != digest);
        self.entries.push_back(entry);
        self.last_parsed = Some(bundle);
        self.trim();
        Ok(reply)
    }

    pub(super) fn sign_off(
        &mut self,
        header: &SignedHeader,
        digest: Sha256Digest,
    ) -> Result<BundleReply, BundleRefusal> {
        self.check_revision(header)?;
        let position = self.stored_position(&digest)?;
        let sign_offs = &mut self.entries[position].sign_offs;
        // Sign-offs under an earlier revision no longer count, and a signer counts once.
        sign_offs.retain(|s| s.expected == header.expected && s.signer != header.signer);
        sign_offs.push(header.clone());
        Ok(BundleReply::SignedOff { digest, next: self.next_revision() })
    }

    pub(super) fn roll(
        &mut self,
        header: &SignedHeader,
        digest: Sha256Digest,
    ) -> Result<BundleReply, BundleRefusal> {
        self.check_revision(header)?;
        let position = self.stored_position(&digest)?;
        let revision = self.next_revision();
        let entry = &self.entries[position];
        if !entry.sign_offs.iter().any(|s| s.expected == header.expected) {
            return Err(BundleRefusal::NotSignedOff { digest, next: revision });
        }
        let bundle = self.parse_stored(&digest)?;
        let entry = &mut self.entries[position];
        entry.outcome = BundleOutcome::Rolled(revision);
        let mut sign_offs = std::mem::take(&mut entry.sign_offs);
        sign_offs.retain(|s| s.expected == header.expected);
        let (version, roll) = (entry.version.clone(), header.clone());
        self.revisions.push_back(RevisionEntry { revision, version, digest, sign_offs, roll });
        self.in_force = Some(bundle);
        self.trim();
        Ok(BundleReply::Rolled { digest, revision })
    }

    /// Applies a change to its stored base.
    pub(super) fn apply_change(&self, change: &ContentChange) -> Result<Box<str>, BundleRefusal> {
        let content = self.content(&change.base).and_then(|base| change.apply(&base));
        content.ok_or(BundleRefusal::ChangeMismatch(change.base))
    }

    fn check_revision(&self, header: &SignedHeader) -> Result<(), BundleRefusal> {
        let (expected, current) = (header.expected, self.revision());
        if expected == current {
            return Ok(());
        }
        let winner = self.revisions.back().map(RevisionEntry::origin);
        Err(BundleRefusal::RevisionMoved { expected, current, winner })
    }

    fn next_revision(&self) -> Revision {
        Revision::new(self.revision().get().saturating_add(1))
    }

    /// Returns the position of an entry whose content is still stored.
    fn stored_position(&self, digest: &Sha256Digest) -> Result<usize, BundleRefusal> {
        let position = self.entries.iter().position(|e| e.digest == *digest);
        let position = position.ok_or(BundleRefusal::UnknownBundle(*digest))?;
        let dropped = BundleRefusal::ContentDropped(*digest);
        self.entries[position].chunks.as_ref().map(|_| position).ok_or(dropped)
    }

    fn parse_stored(&self, digest: &Sha256Digest) -> Result<Arc<Bundle>, BundleRefusal> {
        if let Some(bundle) = self.last_parsed.as_ref().filter(|b| b.digest == *digest) {
            return Ok(Arc::clone(bundle));
        }
        let content = self.content(digest).ok_or(BundleRefusal::ContentDropped(*digest))?;
        parse_content(&content).map(Arc::new)
    }

    fn new_entry(&mut self, header: &SignedHeader, content: &str, bundle: &Bundle) -> BundleEntry {
        let earlier = self.find(&bundle.digest).map(|e| e.outcome);
        BundleEntry {
            version: bundle.version.clone(),
            digest: bundle.digest,
            submit: header.clone(),
            chunks: Some(self.chunks.insert(content)),
            sign_offs: Default::default(),
            outcome: earlier.unwrap_or(BundleOutcome::Submitted),
        }
    }

    /// Removes the oldest contents, entries and revisions above the limits, but never those in force.
    fn trim(&mut self) {
        let in_force = self.in_force.as_ref().map(|b| b.digest);
        let mut surplus = self
            .entries
            .iter()
            .filter(|e| e.chunks.is_some())
            .count()
            .saturating_sub(MAX_STORED_CONTENTS);
        for entry in self.entries.iter_mut().filter(|e| Some(e.digest) != in_force) {
            if surplus > 0
                && let Some(chunks) = entry.chunks.take()
            {
                self.chunks.remove(&chunks);
                surplus -= 1;
            }
        }
        if self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.iter().position(|e| Some(e.digest) != in_force);
            oldest.map(|position| self.entries.remove(position));
        }
        if self.revisions.len() > MAX_REVISIONS {
            self.revisions.pop_front();
        }
    }
}

fn submitted(entry: &BundleEntry) -> BundleReply {
    let (version, digest) = (entry.version.clone(), entry.digest);
    BundleReply::Submitted { version, digest, by: entry.submit.signer.clone() }
}

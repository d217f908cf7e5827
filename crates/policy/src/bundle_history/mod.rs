//! The replicated table of bundles.
//!
//! The content of a bundle is its whole TOML document. Commands refer to it by its SHA-256 digest.
//!
//! Rules:
//!
//! - The signers are the operator keys of the settings before the first roll, and those of the bundle in
//!   force afterwards. All voters must have the same operator keys, or their histories would diverge.
//! - Every command names the revision that its operator expects to be in force, and is refused under
//!   another one. Of two rolls that expect the same revision, the first in the log wins.
//! - A sign-off counts for the next revision only. Content that was signed off before another roll must be
//!   signed off again, since rolling it would revert the changes of the other one.
//! - A signer with the right to sign off may sign off its own content. A deployment that requires two
//!   people for a change gives the rights `submit` and `sign-off` to different signers.
//! - A command whose signature does not verify changes no state, so that it cannot occupy a command id.
//! - Parsing a bundle is part of the replicated state machine. A release that parses bundles differently
//!   must run on all voters before a bundle is submitted on which the releases disagree.

mod bundle_action;
mod bundle_command;
mod bundle_entry;
mod bundle_outcome;
mod bundle_refusal;
mod bundle_reply;
mod bundle_summary;
mod check;
mod check_content;
mod chunk_digest;
mod chunk_table;
mod command_signature;
mod content_change;
mod content_part;
mod diff;
mod execute;
mod history_page;
mod history_parts;
mod origin;
mod parts_error;
mod recorded_reply;
mod reply_cache;
mod restore;
mod revision_entry;
mod signature_error;
mod signed_header;
mod signed_text;
mod split;
mod table_diff;

pub use bundle_action::BundleAction;
pub use bundle_command::BundleCommand;
pub use bundle_entry::BundleEntry;
pub use bundle_outcome::BundleOutcome;
pub use bundle_refusal::BundleRefusal;
pub use bundle_reply::BundleReply;
pub use bundle_summary::BundleSummary;
pub use check_content::check_content;
pub use chunk_digest::ChunkDigest;
pub use command_signature::CommandSignature;
pub use content_change::ContentChange;
pub use content_part::ContentPart;
pub use diff::diff_bundles;
pub use history_page::HistoryPage;
pub use history_parts::HistoryParts;
pub use masticstair_core::id::DeploymentName;
pub use origin::Origin;
pub use parts_error::PartsError;
pub use recorded_reply::RecordedReply;
pub use reply_cache::MAX_RECORDED_REPLIES;
pub use revision_entry::RevisionEntry;
pub use signature_error::SignatureError;
pub use signed_header::SignedHeader;
pub use signed_text::signed_text;
pub use table_diff::TableDiff;

use masticstair_core::bundle::{Bundle, Signer};
use masticstair_core::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;

use chunk_table::ChunkTable;
use reply_cache::ReplyCache;

/// The largest bundle document. 37,000 accounts with every key written out take 6.5 MB.
pub const MAX_CONTENT_SIZE: ByteCount = ByteCount::new(16 << 20);

/// The largest number of bundles whose content is stored, including the one in force.
pub const MAX_STORED_CONTENTS: usize = 64;

/// The largest number of bundles in the history; more than three days at 1,100 changes a day.
pub const MAX_ENTRIES: usize = 4_096;

/// The largest number of revisions in the history; the oldest are removed above it.
pub const MAX_REVISIONS: usize = 4_096;

/// The largest number of errors that a reply lists. The errors of a document at the size limit could
/// otherwise take many times its size.
pub const MAX_REPORTED_ERRORS: usize = 10_000;

/// The replicated table of bundles.
#[derive(Debug)]
pub struct BundleHistory {
    deployment: DeploymentName,
    /// The signers before the first roll; from the settings, equal on all voters.
    operators: Box<[Signer]>,
    /// The bundle of the last revision; none before the first roll.
    in_force: Option<Arc<Bundle>>,
    /// The bundle that was parsed last; saves parsing it again at the roll.
    last_parsed: Option<Arc<Bundle>>,
    /// A bundle that another thread has parsed for the next submit; saves parsing it again.
    preparsed: Option<Arc<Bundle>>,
    /// Oldest first; digests and versions are unique; at most `MAX_ENTRIES`.
    entries: VecDeque<BundleEntry>,
    /// In ascending order; at most `MAX_REVISIONS`.
    revisions: VecDeque<RevisionEntry>,
    /// Exactly the chunks that the entries refer to.
    chunks: ChunkTable,
    replies: ReplyCache,
}

impl BundleHistory {
    /// Creates an empty history; `operators` are the signers before the first roll.
    pub fn new(deployment: DeploymentName, operators: Box<[Signer]>) -> Self {
        Self {
            deployment,
            operators,
            in_force: None,
            last_parsed: None,
            preparsed: None,
            entries: VecDeque::new(),
            revisions: VecDeque::new(),
            chunks: ChunkTable::default(),
            replies: ReplyCache::default(),
        }
    }

    /// Applies a command from the log. The reply depends only on the settings and the commands before it.
    pub fn apply(&mut self, cmd: &BundleCommand) -> BundleReply {
        if let Some(refusal) = too_large(&cmd.action) {
            return BundleReply::Refused(refusal);
        }
        let (digest, kind) = (cmd.action.digest(), cmd.action.right());
        let SignedHeader { id, expected, signer, .. } = &cmd.header;
        let text = signed_text(&self.deployment, id, *expected, signer, kind, &digest);
        let command = Sha256Digest::of(text.as_bytes());
        if let Some(recorded) = self.replies.get(id) {
            return self.repeat_reply(recorded, command, &cmd.action);
        }
        if let Err(e) = cmd.header.verify(&self.deployment, kind, &digest, self.signers()) {
            return BundleReply::Refused(e);
        }
        let reply = match self.execute(cmd, digest) {
            Err(e @ BundleRefusal::ChangeMismatch(_)) => return BundleReply::Refused(e),
            result => result.unwrap_or_else(BundleReply::Refused),
        };
        let invalid = matches!(reply, BundleReply::Refused(BundleRefusal::Invalid { .. }));
        self.replies.record(RecordedReply {
            id: id.clone(),
            command,
            kind,
            origin: Origin { by: signer.clone(), digest },
            reply: (!invalid).then(|| reply.clone()),
        });
        reply
    }

    /// Sets a bundle that was parsed on another thread. If the next submit has its content, it is applied
    /// without parsing, which takes 0.2 to 0.4 s for 37,000 accounts.
    pub fn set_preparsed(&mut self, bundle: Arc<Bundle>) {
        self.preparsed = Some(bundle);
    }

    /// Returns the signers whose commands are accepted.
    pub fn signers(&self) -> &[Signer] {
        self.in_force.as_ref().map_or(&self.operators, |bundle| &bundle.signers)
    }

    /// Returns the revision in force; 0 when there is none.
    pub fn revision(&self) -> Revision {
        self.revisions.back().map(|r| r.revision).unwrap_or_default()
    }

    /// Returns the bundle in force; `None` before the first roll.
    pub fn in_force(&self) -> Option<&Arc<Bundle>> {
        self.in_force.as_ref()
    }

    /// Returns the bundles of the history, oldest first.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &BundleEntry> {
        self.entries.iter()
    }

    /// Returns the revisions of the history in ascending order.
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = &RevisionEntry> + ExactSizeIterator {
        self.revisions.iter()
    }

    /// Returns the `last` newest bundles of the history, newest first.
    pub fn summaries(&self, last: usize) -> Vec<BundleSummary> {
        self.entries.iter().rev().take(last).map(BundleEntry::summary).collect()
    }

    /// Returns up to `limit` bundles that are older than the one with the digest `after`, or the newest ones
    /// without `after`. Returns `None` when `after` is no longer in the history.
    pub fn page(&self, after: Option<&Sha256Digest>, limit: usize) -> Option<HistoryPage> {
        let end = match after {
            None => self.entries.len(),
            Some(digest) => self.entries.iter().position(|e| e.digest == *digest)?,
        };
        let start = end.saturating_sub(limit);
        let bundles = self.entries.range(start..end).rev().map(BundleEntry::summary).collect();
        Some(HistoryPage { bundles, more: start > 0 })
    }

    /// Returns the entry whose content has this digest.
    pub fn find(&self, digest: &Sha256Digest) -> Option<&BundleEntry> {
        self.entries.iter().find(|e| e.digest == *digest)
    }

    /// Returns the content with this digest; `None` when it is unknown or was removed.
    pub fn content(&self, digest: &Sha256Digest) -> Option<Box<str>> {
        self.chunks.join(self.find(digest)?.chunks.as_ref()?)
    }

    fn execute(
        &mut self,
        cmd: &BundleCommand,
        digest: Sha256Digest,
    ) -> Result<BundleReply, BundleRefusal> {
        match &cmd.action {
            BundleAction::Submit(content) => self.submit(&cmd.header, content, digest),
            BundleAction::SubmitChange(change) => {
                let content = self.apply_change(change)?;
                self.submit(&cmd.header, &content, digest)
            }
            BundleAction::SignOff(_) => self.sign_off(&cmd.header, digest),
            BundleAction::Roll(_) => self.roll(&cmd.header, digest),
        }
    }

    /// Returns the reply to a command whose id was used before.
    fn repeat_reply(
        &self,
        recorded: &RecordedReply,
        command: Sha256Digest,
        action: &BundleAction,
    ) -> BundleReply {
        if recorded.command != command {
            let (id, kind, origin) = (recorded.id.clone(), recorded.kind, recorded.origin.clone());
            return BundleReply::Refused(BundleRefusal::IdReused { id, kind, origin });
        }
        if let Some(reply) = &recorded.reply {
            return reply.clone();
        }
        // Only an invalid submit has no recorded reply; its errors are computed from the content again.
        let errors = match action {
            BundleAction::Submit(content) => check::parse_content(content).err(),
            BundleAction::SubmitChange(change) => {
                self.apply_change(change).and_then(|content| check::parse_content(&content)).err()
            }
            BundleAction::SignOff(_) | BundleAction::Roll(_) => None,
        };
        let none = BundleRefusal::Invalid { errors: [].into(), total: 0 };
        BundleReply::Refused(errors.unwrap_or(none))
    }
}

fn too_large(action: &BundleAction) -> Option<BundleRefusal> {
    let BundleAction::Submit(content) = action else { return None };
    let size = ByteCount::new(content.len() as u64);
    (size > MAX_CONTENT_SIZE).then_some(BundleRefusal::TooLarge { size, limit: MAX_CONTENT_SIZE })
}

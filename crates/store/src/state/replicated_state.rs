use masticstair_core::bundle::{Bundle, Signer};
use masticstair_core::catalog::CatalogDocument;
use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{
    BundleHistory, BundleReply, ContentChange, DeploymentName,
};
use masticstair_policy::catalog_register::CatalogRegister;
use masticstair_policy::evacuations::{EvacuationListing, EvacuationRegister};
use masticstair_policy::issuer::IssuerTable;
use masticstair_policy::run_once::{RunOnceLimits, RunOnceTable};
use std::sync::Arc;

use super::{
    Answer, Command, MAX_LISTED_ENTRIES, Query, Reply, RestoreError, RevisionInForce, snapshot,
};

/// The replicated state of a deployment.
#[derive(Debug)]
pub struct ReplicatedState {
    /// Invariant: its limits are those of the bundle in force.
    pub(super) run_once: RunOnceTable,
    pub(super) bundles: BundleHistory,
    pub(super) issuers: IssuerTable,
    pub(super) catalog: CatalogRegister,
    pub(super) evacuations: EvacuationRegister,
}

impl ReplicatedState {
    /// Creates the state before the first command. `operators` are the valid signers until the first bundle
    /// is in force.
    pub fn new(deployment: DeploymentName, operators: Box<[Signer]>) -> Self {
        Self {
            run_once: RunOnceTable::new(RunOnceLimits::BEFORE_FIRST_BUNDLE),
            bundles: BundleHistory::new(deployment, operators),
            issuers: IssuerTable::default(),
            catalog: CatalogRegister::default(),
            evacuations: EvacuationRegister::default(),
        }
    }

    /// Applies a command of the log. Replicas must apply the same commands in the same order.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::RunOnce(cmd) => Reply::RunOnce(self.run_once.apply(cmd)),
            Command::Issuer(cmd) => Reply::Issuer(self.issuers.apply(cmd)),
            Command::Catalog(document) => Reply::Catalog(self.catalog.replace(document)),
            Command::Evacuation(order) => Reply::Evacuation(self.evacuations.apply(order)),
            Command::Bundle(cmd) => {
                let reply = self.bundles.apply(cmd);
                if matches!(reply, BundleReply::Rolled { .. }) {
                    self.run_once.set_limits(snapshot::limits(&self.bundles));
                }
                Reply::Bundle(reply)
            }
        }
    }

    /// Applies an encoded command and returns the encoded reply. A command that cannot be decoded changes
    /// nothing and gets the reply `Undecodable`.
    pub fn apply_encoded(&mut self, command: &[u8]) -> Box<[u8]> {
        let reply = match Command::decode(command) {
            Ok(command) => self.apply(&command),
            Err(e) => Reply::Undecodable(e.to_string().into()),
        };
        reply.encode()
    }

    /// Answers a query from the current state.
    pub fn query(&self, query: &Query) -> Answer {
        match query {
            Query::Call(call) => Answer::Call(self.run_once.find(call)),
            Query::Floor => Answer::Floor(self.floor()),
            Query::Revision => Answer::Revision(self.revision()),
            Query::InForce => Answer::InForce(self.in_force().map(Box::new)),
            Query::RevisionsAfter(revision) => {
                let later = self.bundles.revisions().filter(|r| r.revision > *revision);
                Answer::Revisions(later.take(MAX_LISTED_ENTRIES).cloned().collect())
            }
            Query::Content(digest) => Answer::Content(self.bundles.content(digest)),
            Query::Change { from, to } => {
                let contents = self.bundles.content(from).zip(self.bundles.content(to));
                let change = contents.map(|(from, to)| ContentChange::between(&from, &to));
                Answer::Change(change.map(Box::new))
            }
            Query::History => Answer::History(self.bundles.summaries(MAX_LISTED_ENTRIES)),
            Query::HistoryPage { after, limit } => {
                let limit = usize::try_from(limit.get())
                    .unwrap_or(MAX_LISTED_ENTRIES)
                    .min(MAX_LISTED_ENTRIES);
                Answer::HistoryPage(self.bundles.page(after.as_ref(), limit))
            }
            Query::Issuer(group) => Answer::Issuer(self.issuers.lease(group)),
            Query::Catalog => Answer::Catalog(self.catalog.get().cloned()),
            Query::Evacuations => Answer::Evacuations(self.evacuations()),
        }
    }

    /// Answers an encoded query. A query that cannot be decoded gets the answer `Undecodable`.
    pub fn query_encoded(&self, query: &[u8]) -> Box<[u8]> {
        let answer = match Query::decode(query) {
            Ok(query) => self.query(&query),
            Err(e) => Answer::Undecodable(e.to_string().into()),
        };
        answer.encode()
    }

    /// Encodes the whole state; equal states have equal encodings.
    pub fn snapshot(&self) -> Box<[u8]> {
        snapshot::encode(self)
    }

    /// Replaces the whole state with that of a snapshot.
    ///
    /// # Errors
    ///
    /// Rejects a snapshot that is corrupted or of an unsupported version; the state is then unchanged.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        *self = snapshot::decode(bytes, &self.bundles)?;
        Ok(())
    }

    /// Sets a bundle that was parsed on another thread, so that applying the submit of its contents does not
    /// parse them again. Does not affect any reply.
    pub fn set_preparsed_bundle(&mut self, bundle: Arc<Bundle>) {
        self.bundles.set_preparsed(bundle);
    }

    /// Returns the number of the revision in force; 0 before the first roll.
    pub fn revision(&self) -> Revision {
        self.bundles.revision()
    }

    /// Returns the current catalog; `None` before the first one.
    pub fn catalog(&self) -> Option<&CatalogDocument> {
        self.catalog.get()
    }

    /// Returns the data centres that are or were evacuated.
    pub fn evacuations(&self) -> EvacuationListing {
        self.evacuations.listing()
    }

    /// Returns the number of the last change of the evacuations; 0 before the first one.
    pub fn evacuation_revision(&self) -> EvacuationRevision {
        self.evacuations.revision()
    }

    /// Returns the parsed bundle in force; `None` before the first roll.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.bundles.in_force()
    }

    /// Returns the revision in force with its contents; `None` before the first roll.
    pub fn in_force(&self) -> Option<RevisionInForce> {
        let revision = self.bundles.revisions().next_back()?.clone();
        let content = self.bundles.content(&revision.digest)?;
        Some(RevisionInForce { revision, content })
    }

    /// Returns the floor of key times: keys with an earlier time have expired.
    pub const fn floor(&self) -> WallTime {
        self.run_once.floor()
    }
}

use masticstair_core::catalog::CatalogDocument;
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{
    BundleSummary, ContentChange, HistoryPage, RevisionEntry,
};
use masticstair_policy::evacuations::EvacuationListing;
use masticstair_policy::issuer::IssuerLease;
use masticstair_policy::run_once::RunOnceReply;

use super::RevisionInForce;
use super::codec::{self, CodecError};

/// The answer to a `Query`, in the variant that belongs to the query.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of a run-once call: `Found`, `KeyExpired` or `NoRecord`.
    Call(RunOnceReply),
    /// The floor of key times: keys with an earlier time have expired.
    Floor(WallTime),
    /// The number of the revision in force; 0 before the first roll.
    Revision(Revision),
    /// The revision in force; `None` before the first roll.
    InForce(Option<Box<RevisionInForce>>),
    /// Consecutive revisions, oldest first; at most `MAX_LISTED_ENTRIES`.
    Revisions(Vec<RevisionEntry>),
    /// The contents of a bundle; `None` if they are unknown or no longer kept.
    Content(Option<Box<str>>),
    /// The difference between two bundle contents; `None` if one of them is unknown or no longer kept.
    Change(Option<Box<ContentChange>>),
    /// The latest bundles, newest first; at most `MAX_LISTED_ENTRIES`.
    History(Vec<BundleSummary>),
    /// The lease of a group of order issuers; the default without a holder if there was never one.
    Issuer(IssuerLease),
    /// A page of the history; `None` if the bundle that it should follow is no longer listed.
    HistoryPage(Option<HistoryPage>),
    /// The catalog; `None` before the first one.
    Catalog(Option<CatalogDocument>),
    /// The data centres that are or were evacuated.
    Evacuations(EvacuationListing),
    /// The query could not be decoded; the text is the message of the `CodecError`.
    Undecodable(Box<str>),
}

impl Answer {
    /// Encodes the answer, with the format version first.
    pub fn encode(&self) -> Box<[u8]> {
        codec::encode(|w| match self {
            Self::Call(reply) => {
                w.byte(0);
                codec::run_once::put_reply(w, reply);
            }
            Self::Floor(floor) => {
                w.byte(1);
                w.varint(floor.get());
            }
            Self::Revision(revision) => {
                w.byte(2);
                w.varint(revision.get());
            }
            Self::InForce(in_force) => {
                w.byte(3);
                w.option(in_force.as_ref(), |w, in_force| {
                    codec::bundle::put_revision(w, &in_force.revision);
                    w.text(&in_force.content);
                });
            }
            Self::Revisions(revisions) => {
                w.byte(4);
                w.list(revisions.iter(), codec::bundle::put_revision);
            }
            Self::Content(content) => {
                w.byte(5);
                w.option(content.as_ref(), |w, content| w.text(content));
            }
            Self::Change(change) => {
                w.byte(9);
                w.option(change.as_ref(), |w, change| codec::bundle::put_change(w, change));
            }
            Self::History(summaries) => {
                w.byte(6);
                w.list(summaries.iter(), codec::bundle::put_summary);
            }
            Self::Issuer(lease) => {
                w.byte(7);
                codec::issuer::put_lease(w, lease);
            }
            Self::HistoryPage(page) => {
                w.byte(10);
                w.option(page.as_ref(), |w, page| {
                    w.list(page.bundles.iter(), codec::bundle::put_summary);
                    w.flag(page.more);
                });
            }
            Self::Catalog(document) => {
                w.byte(11);
                w.option(document.as_ref(), codec::catalog::put_document);
            }
            Self::Evacuations(listing) => {
                w.byte(12);
                codec::evacuation::put_listing(w, listing);
            }
            Self::Undecodable(why) => {
                w.byte(8);
                w.text(why);
            }
        })
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the first value that cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes, |r| {
            Ok(match r.byte()? {
                0 => Self::Call(codec::run_once::get_reply(r)?),
                1 => Self::Floor(r.varint()?.into()),
                2 => Self::Revision(r.varint()?.into()),
                3 => Self::InForce(r.option(|r| {
                    let revision = codec::bundle::get_revision(r)?;
                    Ok(Box::new(RevisionInForce { revision, content: r.text()?.into() }))
                })?),
                4 => Self::Revisions(r.list(codec::bundle::get_revision)?),
                5 => Self::Content(r.option(|r| r.text().map(Into::into))?),
                6 => Self::History(r.list(codec::bundle::get_summary)?),
                7 => Self::Issuer(codec::issuer::get_lease(r)?),
                8 => Self::Undecodable(r.text()?.into()),
                9 => Self::Change(r.option(|r| codec::bundle::get_change(r).map(Box::new))?),
                10 => Self::HistoryPage(r.option(|r| {
                    let bundles = r.list(codec::bundle::get_summary)?;
                    Ok(HistoryPage { bundles, more: r.flag()? })
                })?),
                11 => Self::Catalog(r.option(codec::catalog::get_document)?),
                12 => Self::Evacuations(codec::evacuation::get_listing(r)?),
                tag => return Err(CodecError::Tag { what: "answer", tag }),
            })
        })
    }
}

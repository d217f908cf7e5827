use masticstair_core::prelude::*;
use masticstair_policy::run_once::CallKey;

use super::codec::{self, CodecError};

/// A read-only query of the replicated state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Query {
    /// The state of a run-once call.
    Call(CallKey),
    /// The floor of key times.
    Floor,
    /// The number of the revision in force.
    Revision,
    /// The revision in force with its signatures and bundle contents.
    InForce,
    /// The signatures of the revisions after this one, oldest first, at most `MAX_LISTED_ENTRIES`.
    RevisionsAfter(Revision),
    /// The bundle contents with this digest.
    Content(Sha256Digest),
    /// The difference from the contents with the digest `from` to those with the digest `to`.
    Change {
        /// Digest of the contents that the querying host has.
        from: Sha256Digest,
        /// Digest of the contents that the querying host needs.
        to: Sha256Digest,
    },
    /// The latest bundles, newest first, at most `MAX_LISTED_ENTRIES`.
    History,
    /// The current catalog.
    Catalog,
    /// The data centres that are or were evacuated.
    Evacuations,
    /// The lease of a group of order issuers.
    Issuer(PoolName),
    /// A page of the history, newest first.
    HistoryPage {
        /// Digest of the last bundle of the previous page; `None` for the first page.
        after: Option<Sha256Digest>,
        /// Maximum number of bundles in the answer; capped at `MAX_LISTED_ENTRIES`.
        limit: Slots,
    },
}

impl Query {
    /// Encodes the query, with the format version first.
    pub fn encode(&self) -> Box<[u8]> {
        codec::encode(|w| match self {
            Self::Call(call) => {
                w.byte(0);
                codec::run_once::put_call(w, call);
            }
            Self::Floor => w.byte(1),
            Self::Revision => w.byte(2),
            Self::InForce => w.byte(3),
            Self::RevisionsAfter(revision) => {
                w.byte(4);
                w.varint(revision.get());
            }
            Self::Content(digest) => {
                w.byte(5);
                w.fixed(digest.as_bytes());
            }
            Self::Change { from, to } => {
                w.byte(8);
                w.fixed(from.as_bytes());
                w.fixed(to.as_bytes());
            }
            Self::History => w.byte(6),
            Self::Catalog => w.byte(10),
            Self::Evacuations => w.byte(11),
            Self::Issuer(group) => {
                w.byte(7);
                w.text(group.as_str());
            }
            Self::HistoryPage { after, limit } => {
                w.byte(9);
                w.option(after.as_ref(), |w, digest| w.fixed(digest.as_bytes()));
                w.varint(limit.get().into());
            }
        })
    }

    /// Decodes a query.
    ///
    /// # Errors
    ///
    /// Returns the error of the first value that cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes, |r| {
            Ok(match r.byte()? {
                0 => Self::Call(codec::run_once::get_call(r)?),
                1 => Self::Floor,
                2 => Self::Revision,
                3 => Self::InForce,
                4 => Self::RevisionsAfter(r.varint()?.into()),
                5 => Self::Content(codec::get_digest(r)?),
                6 => Self::History,
                7 => Self::Issuer(r.parse()?),
                8 => Self::Change { from: codec::get_digest(r)?, to: codec::get_digest(r)? },
                9 => Self::HistoryPage {
                    after: r.option(|r| r.fixed().map(Sha256Digest::from_bytes))?,
                    limit: r.varint_u32()?.into(),
                },
                10 => Self::Catalog,
                11 => Self::Evacuations,
                tag => return Err(CodecError::Tag { what: "query", tag }),
            })
        })
    }
}

//! Snapshots of the replicated state.
//!
//! A snapshot consists of the magic number, the format version, the bundle history, the run-once table, the
//! issuer leases, since version 2 the catalog, and since version 3 the evacuations. Equal states have equal snapshots.

use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{BundleHistory, HistoryParts};
use masticstair_policy::catalog_register::CatalogRegister;
use masticstair_policy::evacuations::{EvacuationListing, EvacuationRegister};
use masticstair_policy::issuer::IssuerTable;
use masticstair_policy::run_once::{CallDigest, RunOnceLimits, RunOnceTable};

use super::codec::{self, CodecError, Reader, Writer};
use super::{ReplicatedState, RestoreError};

const MAGIC: [u8; 4] = *b"MSNP";

/// The format version of snapshots that are written.
const SNAPSHOT_FORMAT_VERSION: u8 = 3;

/// The format version of releases without a catalog; still read.
const FORMAT_VERSION_WITHOUT_CATALOG: u8 = 1;

/// The format version of releases without evacuations; still read.
const FORMAT_VERSION_WITHOUT_EVACUATIONS: u8 = 2;

pub(super) fn encode(state: &ReplicatedState) -> Box<[u8]> {
    let mut w = Writer::default();
    w.fixed(&MAGIC);
    w.byte(SNAPSHOT_FORMAT_VERSION);
    put_history(&mut w, &state.bundles);
    put_run_once(&mut w, &state.run_once);
    w.list(state.issuers.leases(), |w, (group, lease)| {
        w.text(group.as_str());
        codec::issuer::put_lease(w, lease);
    });
    w.option(state.catalog.get(), codec::catalog::put_document);
    codec::evacuation::put_listing(&mut w, &state.evacuations.listing());
    w.into_bytes()
}

/// Decodes a snapshot. `current` is the history of the state to be replaced, which provides the deployment
/// name and the operators.
pub(super) fn decode(
    bytes: &[u8],
    current: &BundleHistory,
) -> Result<ReplicatedState, RestoreError> {
    let mut r = Reader::new(bytes);
    if r.fixed() != Ok(MAGIC) {
        return Err(RestoreError::Magic);
    }
    let format = r.byte()?;
    if !(FORMAT_VERSION_WITHOUT_CATALOG..=SNAPSHOT_FORMAT_VERSION).contains(&format) {
        return Err(RestoreError::Version { found: format, known: SNAPSHOT_FORMAT_VERSION });
    }
    let parts = get_history(&mut r)?;
    let bundles = current.with_parts(parts)?;
    let run_once = get_run_once(&mut r, limits(&bundles))?;
    let get_lease = |r: &mut Reader<'_>| Ok((r.parse()?, codec::issuer::get_lease(r)?));
    let issuers = IssuerTable::from_parts(r.list(get_lease)?);
    let document = match format {
        FORMAT_VERSION_WITHOUT_CATALOG => None,
        _ => r.option(codec::catalog::get_document)?,
    };
    let evacuations = match format {
        FORMAT_VERSION_WITHOUT_CATALOG | FORMAT_VERSION_WITHOUT_EVACUATIONS => {
            EvacuationListing::default()
        }
        _ => codec::evacuation::get_listing(&mut r)?,
    };
    r.finish()?;
    let catalog = CatalogRegister::with_document(document);
    let evacuations = EvacuationRegister::from_listing(evacuations);
    Ok(ReplicatedState { run_once, bundles, issuers, catalog, evacuations })
}

/// Returns the limits that the bundle in force sets for the run-once table.
pub(super) fn limits(bundles: &BundleHistory) -> RunOnceLimits {
    let before = RunOnceLimits::BEFORE_FIRST_BUNDLE;
    bundles.in_force().map_or(before, |bundle| (&bundle.limits).into())
}

fn put_history(w: &mut Writer, bundles: &BundleHistory) {
    w.list(bundles.entries(), codec::bundle::put_entry);
    w.list(bundles.revisions(), codec::bundle::put_revision);
    w.list(bundles.chunks(), |w, text| w.text(text));
    let replies = bundles.replies().collect::<Vec<_>>();
    w.list(replies.into_iter(), codec::bundle::put_recorded);
}

fn get_history(r: &mut Reader<'_>) -> Result<HistoryParts, CodecError> {
    Ok(HistoryParts {
        entries: r.list(codec::bundle::get_entry)?,
        revisions: r.list(codec::bundle::get_revision)?,
        chunks: r.list(|r| r.text().map(Into::into))?,
        replies: r.list(codec::bundle::get_recorded)?,
    })
}

fn put_run_once(w: &mut Writer, table: &RunOnceTable) {
    w.varint(table.floor().get());
    w.list(table.records(), |w, (digest, record)| {
        w.fixed(digest.as_bytes());
        codec::run_once::put_record(w, record);
    });
    w.list(table.expired(), |w, digest| w.fixed(digest.as_bytes()));
}

fn get_run_once(r: &mut Reader<'_>, limits: RunOnceLimits) -> Result<RunOnceTable, CodecError> {
    let get_digest = |r: &mut Reader<'_>| r.fixed().map(CallDigest::from_bytes);
    let floor = WallTime::new(r.varint()?);
    let records = r.list(|r| Ok((get_digest(r)?, codec::run_once::get_record(r)?)))?;
    let expired = r.list(get_digest)?;
    Ok(RunOnceTable::from_parts(limits, floor, records, expired))
}

//! Encoding of orders, replies and listings of the evacuated data centres.

use masticstair_core::prelude::*;
use masticstair_policy::evacuations::{
    Evacuation, EvacuationAction, EvacuationListing, EvacuationOrder, EvacuationReply,
};

use super::{CodecError, Reader, Writer};

pub(crate) fn put_order(w: &mut Writer, order: &EvacuationOrder) {
    w.byte(match order.action {
        EvacuationAction::Begin => 0,
        EvacuationAction::End => 1,
    });
    w.text(order.data_centre.as_str());
    w.varint(order.after.get());
    w.varint(order.proposed_at.get());
}

pub(crate) fn get_order(r: &mut Reader<'_>) -> Result<EvacuationOrder, CodecError> {
    let action = match r.byte()? {
        0 => EvacuationAction::Begin,
        1 => EvacuationAction::End,
        tag => return Err(CodecError::Tag { what: "evacuation action", tag }),
    };
    Ok(EvacuationOrder {
        action,
        data_centre: r.parse()?,
        after: r.varint()?.into(),
        proposed_at: WallTime::new(r.varint()?),
    })
}

pub(crate) fn put_reply(w: &mut Writer, reply: EvacuationReply) {
    let (tag, revision) = match reply {
        EvacuationReply::Changed(revision) => (0, revision),
        EvacuationReply::Held(revision) => (1, revision),
        EvacuationReply::Outdated(revision) => (2, revision),
        EvacuationReply::Full => return w.byte(3),
    };
    w.byte(tag);
    w.varint(revision.get());
}

pub(crate) fn get_reply(r: &mut Reader<'_>) -> Result<EvacuationReply, CodecError> {
    Ok(match r.byte()? {
        0 => EvacuationReply::Changed(r.varint()?.into()),
        1 => EvacuationReply::Held(r.varint()?.into()),
        2 => EvacuationReply::Outdated(r.varint()?.into()),
        3 => EvacuationReply::Full,
        tag => return Err(CodecError::Tag { what: "evacuation reply", tag }),
    })
}

pub(crate) fn put_listing(w: &mut Writer, listing: &EvacuationListing) {
    w.varint(listing.revision.get());
    w.list(listing.data_centres.iter(), |w, entry| {
        w.text(entry.data_centre.as_str());
        w.flag(entry.is_evacuated);
        w.varint(entry.revision.get());
        w.varint(entry.changed_at.get());
    });
}

pub(crate) fn get_listing(r: &mut Reader<'_>) -> Result<EvacuationListing, CodecError> {
    let revision = r.varint()?.into();
    let data_centres = r.list(|r| {
        Ok(Evacuation {
            data_centre: r.parse()?,
            is_evacuated: r.flag()?,
            revision: r.varint()?.into(),
            changed_at: WallTime::new(r.varint()?),
        })
    })?;
    Ok(EvacuationListing { revision, data_centres })
}

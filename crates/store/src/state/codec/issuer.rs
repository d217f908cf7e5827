//! Encoding of commands, replies and leases of the order issuers.

use masticstair_core::id::FencingToken;
use masticstair_core::prelude::*;
use masticstair_policy::issuer::{Holder, IssuerCommand, IssuerLease, IssuerReply, RenewalCount};

use super::{CodecError, Reader, Writer};

pub(crate) fn put_command(w: &mut Writer, cmd: &IssuerCommand) {
    match cmd {
        IssuerCommand::Acquire { group, holder, observed_renewals } => {
            w.byte(0);
            put_group_holder(w, group, holder);
            w.option(*observed_renewals, |w, count| w.varint(count.get()));
        }
        IssuerCommand::Renew { group, holder, fencing } => {
            w.byte(1);
            put_group_holder(w, group, holder);
            w.varint(fencing.get());
        }
        IssuerCommand::Release { group, holder, fencing } => {
            w.byte(2);
            put_group_holder(w, group, holder);
            w.varint(fencing.get());
        }
    }
}

pub(crate) fn get_command(r: &mut Reader<'_>) -> Result<IssuerCommand, CodecError> {
    let tag = r.byte()?;
    let (group, holder) = (r.parse()?, get_holder(r)?);
    Ok(match tag {
        0 => IssuerCommand::Acquire { group, holder, observed_renewals: r.option(get_count)? },
        1 => IssuerCommand::Renew { group, holder, fencing: r.varint()?.into() },
        2 => IssuerCommand::Release { group, holder, fencing: r.varint()?.into() },
        tag => return Err(CodecError::Tag { what: "issuer command", tag }),
    })
}

pub(crate) fn put_reply(w: &mut Writer, reply: &IssuerReply) {
    let (tag, lease) = match reply {
        IssuerReply::Granted(lease) => (0, lease),
        IssuerReply::Released(lease) => (1, lease),
        IssuerReply::Refused(lease) => (2, lease),
        IssuerReply::Full(groups) => {
            w.byte(3);
            return w.varint(u64::from(*groups));
        }
    };
    w.byte(tag);
    put_lease(w, lease);
}

pub(crate) fn get_reply(r: &mut Reader<'_>) -> Result<IssuerReply, CodecError> {
    Ok(match r.byte()? {
        0 => IssuerReply::Granted(get_lease(r)?),
        1 => IssuerReply::Released(get_lease(r)?),
        2 => IssuerReply::Refused(get_lease(r)?),
        3 => IssuerReply::Full(r.varint_u32()?),
        tag => return Err(CodecError::Tag { what: "issuer reply", tag }),
    })
}

pub(crate) fn put_lease(w: &mut Writer, lease: &IssuerLease) {
    w.option(lease.holder.as_ref(), put_holder);
    w.varint(lease.fencing.get());
    w.varint(lease.renewals.get());
}

pub(crate) fn get_lease(r: &mut Reader<'_>) -> Result<IssuerLease, CodecError> {
    let holder = r.option(get_holder)?;
    let fencing = FencingToken::new(r.varint()?);
    Ok(IssuerLease { holder, fencing, renewals: get_count(r)? })
}

fn put_group_holder(w: &mut Writer, group: &PoolName, holder: &Holder) {
    w.text(group.as_str());
    put_holder(w, holder);
}

fn put_holder(w: &mut Writer, holder: &Holder) {
    w.text(holder.host.as_str());
    w.varint(holder.incarnation.get());
}

fn get_holder(r: &mut Reader<'_>) -> Result<Holder, CodecError> {
    Ok(Holder { host: r.parse()?, incarnation: r.varint()?.into() })
}

fn get_count(r: &mut Reader<'_>) -> Result<RenewalCount, CodecError> {
    r.varint().map(RenewalCount::new)
}

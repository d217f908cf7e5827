//! Encoding of replies to bundle commands.

use masticstair_policy::bundle_history::{BundleRefusal, BundleReply};

use super::bundle::{get_origin, get_right, put_origin, put_right};
use super::{CodecError, Reader, Writer, get_digest, put_digest};

pub(crate) fn put_reply(w: &mut Writer, reply: &BundleReply) {
    match reply {
        BundleReply::Submitted { version, digest, by } => {
            w.byte(0);
            w.text(version.as_str());
            put_digest(w, digest);
            w.text(by.as_str());
        }
        BundleReply::SignedOff { digest, next } => {
            w.byte(1);
            put_digest(w, digest);
            w.varint(next.get());
        }
        BundleReply::Rolled { digest, revision } => {
            w.byte(2);
            put_digest(w, digest);
            w.varint(revision.get());
        }
        BundleReply::Refused(refusal) => {
            w.byte(3);
            put_refusal(w, refusal);
        }
    }
}

pub(crate) fn get_reply(r: &mut Reader<'_>) -> Result<BundleReply, CodecError> {
    Ok(match r.byte()? {
        0 => BundleReply::Submitted { version: r.parse()?, digest: get_digest(r)?, by: r.parse()? },
        1 => BundleReply::SignedOff { digest: get_digest(r)?, next: r.varint()?.into() },
        2 => BundleReply::Rolled { digest: get_digest(r)?, revision: r.varint()?.into() },
        3 => BundleReply::Refused(get_refusal(r)?),
        tag => return Err(CodecError::Tag { what: "bundle reply", tag }),
    })
}

fn put_refusal(w: &mut Writer, refusal: &BundleRefusal) {
    match refusal {
        BundleRefusal::UnknownSigner(name) => {
            w.byte(0);
            w.text(name.as_str());
        }
        BundleRefusal::NoRight { signer, right } => {
            w.byte(1);
            w.text(signer.as_str());
            put_right(w, *right);
        }
        BundleRefusal::BadSignature(name) => {
            w.byte(2);
            w.text(name.as_str());
        }
        BundleRefusal::IdReused { id, kind, origin } => {
            w.byte(3);
            w.text(id.as_str());
            put_right(w, *kind);
            put_origin(w, origin);
        }
        BundleRefusal::RevisionMoved { expected, current, winner } => {
            w.byte(4);
            w.varint(expected.get());
            w.varint(current.get());
            w.option(winner.as_ref(), put_origin);
        }
        BundleRefusal::TooLarge { size, limit } => {
            w.byte(5);
            w.varint(size.get());
            w.varint(limit.get());
        }
        BundleRefusal::Invalid { errors, total } => {
            w.byte(6);
            w.list(errors.iter(), |w, error| w.text(error));
            w.varint(u64::from(*total));
        }
        BundleRefusal::VersionTaken { version, origin } => {
            w.byte(7);
            w.text(version.as_str());
            put_origin(w, origin);
        }
        BundleRefusal::UnknownBundle(digest) => {
            w.byte(8);
            put_digest(w, digest);
        }
        BundleRefusal::ContentDropped(digest) => {
            w.byte(9);
            put_digest(w, digest);
        }
        BundleRefusal::NotSignedOff { digest, next } => {
            w.byte(10);
            put_digest(w, digest);
            w.varint(next.get());
        }
        BundleRefusal::ChangeMismatch(base) => {
            w.byte(11);
            put_digest(w, base);
        }
    }
}

fn get_refusal(r: &mut Reader<'_>) -> Result<BundleRefusal, CodecError> {
    Ok(match r.byte()? {
        0 => BundleRefusal::UnknownSigner(r.parse()?),
        1 => BundleRefusal::NoRight { signer: r.parse()?, right: get_right(r)? },
        2 => BundleRefusal::BadSignature(r.parse()?),
        3 => {
            BundleRefusal::IdReused { id: r.parse()?, kind: get_right(r)?, origin: get_origin(r)? }
        }
        4 => BundleRefusal::RevisionMoved {
            expected: r.varint()?.into(),
            current: r.varint()?.into(),
            winner: r.option(get_origin)?,
        },
        5 => BundleRefusal::TooLarge { size: r.varint()?.into(), limit: r.varint()?.into() },
        6 => {
            let errors = r.list(|r| r.text().map(Into::into))?.into();
            BundleRefusal::Invalid { errors, total: r.varint_u32()? }
        }
        7 => BundleRefusal::VersionTaken { version: r.parse()?, origin: get_origin(r)? },
        8 => BundleRefusal::UnknownBundle(get_digest(r)?),
        9 => BundleRefusal::ContentDropped(get_digest(r)?),
        10 => BundleRefusal::NotSignedOff { digest: get_digest(r)?, next: r.varint()?.into() },
        11 => BundleRefusal::ChangeMismatch(get_digest(r)?),
        tag => return Err(CodecError::Tag { what: "bundle refusal", tag }),
    })
}

//! Encoding of bundle commands and of the bundle history.

use masticstair_core::bundle::Right;
use masticstair_policy::bundle_history::{
    BundleAction, BundleCommand, BundleEntry, BundleOutcome, BundleSummary, ChunkDigest,
    CommandSignature, ContentChange, ContentPart, Origin, RecordedReply, RevisionEntry,
    SignedHeader,
};

use super::bundle_reply::{get_reply, put_reply};
use super::{CodecError, Reader, Writer, get_digest, put_digest};

pub(crate) fn put_command(w: &mut Writer, cmd: &BundleCommand) {
    put_header(w, &cmd.header);
    match &cmd.action {
        BundleAction::Submit(content) => {
            w.byte(0);
            w.text(content);
        }
        BundleAction::SignOff(digest) => {
            w.byte(1);
            put_digest(w, digest);
        }
        BundleAction::Roll(digest) => {
            w.byte(2);
            put_digest(w, digest);
        }
        BundleAction::SubmitChange(change) => {
            w.byte(3);
            put_change(w, change);
        }
    }
}

pub(crate) fn get_command(r: &mut Reader<'_>) -> Result<BundleCommand, CodecError> {
    let header = get_header(r)?;
    let action = match r.byte()? {
        0 => BundleAction::Submit(r.text()?.into()),
        1 => BundleAction::SignOff(get_digest(r)?),
        2 => BundleAction::Roll(get_digest(r)?),
        3 => BundleAction::SubmitChange(get_change(r)?),
        tag => return Err(CodecError::Tag { what: "bundle command", tag }),
    };
    Ok(BundleCommand { header, action })
}

pub(crate) fn put_entry(w: &mut Writer, entry: &BundleEntry) {
    w.text(entry.version.as_str());
    put_digest(w, &entry.digest);
    put_header(w, &entry.submit);
    w.option(entry.chunks.as_ref(), |w, chunks| {
        w.list(chunks.iter(), |w, chunk| w.fixed(chunk.as_bytes()));
    });
    w.list(entry.sign_offs.iter(), put_header);
    put_outcome(w, entry.outcome);
}

pub(crate) fn get_entry(r: &mut Reader<'_>) -> Result<BundleEntry, CodecError> {
    let get_chunk = |r: &mut Reader<'_>| r.fixed().map(ChunkDigest::from_bytes);
    Ok(BundleEntry {
        version: r.parse()?,
        digest: get_digest(r)?,
        submit: get_header(r)?,
        chunks: r.option(|r| r.list(get_chunk))?.map(Into::into),
        sign_offs: r.list(get_header)?.into(),
        outcome: get_outcome(r)?,
    })
}

pub(crate) fn put_revision(w: &mut Writer, entry: &RevisionEntry) {
    w.varint(entry.revision.get());
    w.text(entry.version.as_str());
    put_digest(w, &entry.digest);
    w.list(entry.sign_offs.iter(), put_header);
    put_header(w, &entry.roll);
}

pub(crate) fn get_revision(r: &mut Reader<'_>) -> Result<RevisionEntry, CodecError> {
    Ok(RevisionEntry {
        revision: r.varint()?.into(),
        version: r.parse()?,
        digest: get_digest(r)?,
        sign_offs: r.list(get_header)?.into(),
        roll: get_header(r)?,
    })
}

pub(crate) fn put_recorded(w: &mut Writer, recorded: &RecordedReply) {
    w.text(recorded.id.as_str());
    put_digest(w, &recorded.command);
    put_right(w, recorded.kind);
    put_origin(w, &recorded.origin);
    w.option(recorded.reply.as_ref(), put_reply);
}

pub(crate) fn get_recorded(r: &mut Reader<'_>) -> Result<RecordedReply, CodecError> {
    Ok(RecordedReply {
        id: r.parse()?,
        command: get_digest(r)?,
        kind: get_right(r)?,
        origin: get_origin(r)?,
        reply: r.option(get_reply)?,
    })
}

pub(crate) fn put_summary(w: &mut Writer, summary: &BundleSummary) {
    w.text(summary.version.as_str());
    put_digest(w, &summary.digest);
    w.text(summary.by.as_str());
    w.list(summary.signed_off_by.iter(), |w, name| w.text(name.as_str()));
    w.flag(summary.content_kept);
    put_outcome(w, summary.outcome);
}

pub(crate) fn get_summary(r: &mut Reader<'_>) -> Result<BundleSummary, CodecError> {
    Ok(BundleSummary {
        version: r.parse()?,
        digest: get_digest(r)?,
        by: r.parse()?,
        signed_off_by: r.list(Reader::parse)?.into(),
        content_kept: r.flag()?,
        outcome: get_outcome(r)?,
    })
}

pub(crate) fn put_change(w: &mut Writer, change: &ContentChange) {
    put_digest(w, &change.base);
    put_digest(w, &change.digest);
    w.list(change.parts.iter(), |w, part| match part {
        ContentPart::Base { offset, length } => {
            w.byte(0);
            w.varint(offset.get());
            w.varint(length.get());
        }
        ContentPart::Text(text) => {
            w.byte(1);
            w.text(text);
        }
    });
}

pub(crate) fn get_change(r: &mut Reader<'_>) -> Result<ContentChange, CodecError> {
    let (base, digest) = (get_digest(r)?, get_digest(r)?);
    let parts = r.list(|r| match r.byte()? {
        0 => Ok(ContentPart::Base { offset: r.varint()?.into(), length: r.varint()?.into() }),
        1 => r.text().map(|text| ContentPart::Text(text.into())),
        tag => Err(CodecError::Tag { what: "content part", tag }),
    })?;
    Ok(ContentChange { base, digest, parts: parts.into() })
}

pub(super) fn put_origin(w: &mut Writer, origin: &Origin) {
    w.text(origin.by.as_str());
    put_digest(w, &origin.digest);
}

pub(super) fn get_origin(r: &mut Reader<'_>) -> Result<Origin, CodecError> {
    Ok(Origin { by: r.parse()?, digest: get_digest(r)? })
}

pub(super) fn put_right(w: &mut Writer, right: Right) {
    w.byte(match right {
        Right::Submit => 0,
        Right::SignOff => 1,
        Right::Roll => 2,
    });
}

pub(super) fn get_right(r: &mut Reader<'_>) -> Result<Right, CodecError> {
    Ok(match r.byte()? {
        0 => Right::Submit,
        1 => Right::SignOff,
        2 => Right::Roll,
        tag => return Err(CodecError::Tag { what: "right", tag }),
    })
}

fn put_header(w: &mut Writer, header: &SignedHeader) {
    w.text(header.id.as_str());
    w.varint(header.expected.get());
    w.text(header.signer.as_str());
    w.fixed(header.signature.as_bytes());
}

fn get_header(r: &mut Reader<'_>) -> Result<SignedHeader, CodecError> {
    Ok(SignedHeader {
        id: r.parse()?,
        expected: r.varint()?.into(),
        signer: r.parse()?,
        signature: r.fixed().map(CommandSignature::from_bytes)?,
    })
}

fn put_outcome(w: &mut Writer, outcome: BundleOutcome) {
    let revision = match outcome {
        BundleOutcome::Submitted => None,
        BundleOutcome::Rolled(revision) => Some(revision),
    };
    w.option(revision, |w, revision| w.varint(revision.get()));
}

fn get_outcome(r: &mut Reader<'_>) -> Result<BundleOutcome, CodecError> {
    let revision = r.option(Reader::varint)?;
    Ok(revision.map_or(BundleOutcome::Submitted, |n| BundleOutcome::Rolled(n.into())))
}

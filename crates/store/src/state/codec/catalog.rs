//! Encoding of the catalog and of the replies to commands that replace it.

use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::catalog_register::CatalogReply;

use super::{CodecError, Reader, Writer};

pub(crate) fn put_document(w: &mut Writer, document: &CatalogDocument) {
    w.varint(document.version.get());
    w.bytes(&document.content);
}

pub(crate) fn get_document(r: &mut Reader<'_>) -> Result<CatalogDocument, CodecError> {
    Ok(CatalogDocument { version: r.varint()?.into(), content: r.bytes()?.into() })
}

pub(crate) fn put_reply(w: &mut Writer, reply: CatalogReply) {
    let (tag, held) = match reply {
        CatalogReply::Replaced(held) => (0, held),
        CatalogReply::Held(held) => (1, held),
        CatalogReply::Older(held) => (2, held),
        CatalogReply::OtherContent(held) => (3, held),
    };
    w.byte(tag);
    w.varint(held.get());
}

pub(crate) fn get_reply(r: &mut Reader<'_>) -> Result<CatalogReply, CodecError> {
    let tag = r.byte()?;
    let held = r.varint()?.into();
    Ok(match tag {
        0 => CatalogReply::Replaced(held),
        1 => CatalogReply::Held(held),
        2 => CatalogReply::Older(held),
        3 => CatalogReply::OtherContent(held),
        tag => return Err(CodecError::Tag { what: "catalog reply", tag }),
    })
}

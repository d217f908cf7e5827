use masticstair_core::prelude::*;

/// A part of the document that a `ContentChange` produces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ContentPart {
    /// A range of the base document; must begin and end at character boundaries.
    Base {
        /// The offset of the first byte in the base document.
        offset: ByteCount,
        /// The length of the range in bytes.
        length: ByteCount,
    },
    /// Text that is inserted as is.
    Text(Box<str>),
}

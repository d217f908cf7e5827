use masticstair_core::prelude::*;

/// A part of a changed content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ContentPart {
    /// Bytes of the base content.
    Base {
        /// Where they begin.
        offset: ByteCount,
        /// How many they are.
        length: ByteCount,
    },
    /// New text.
    Text(Box<str>),
}

use bytes::{Bytes, BytesMut};
use masticstair_core::prelude::*;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DecodeError, FixedBodyDecoder, PayloadDecoder,
};

/// Decodes a body in chunks and fails if it would have to buffer more than `limit`.
///
/// Needed because the decoders of `monoio-http` buffer any length that the endpoint announces.
pub(super) struct BodyDecoder {
    inner: PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>,
    limit: ByteCount,
    /// Whether the end of the body was decoded.
    ended: bool,
}

impl BodyDecoder {
    pub(super) fn new(
        inner: PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>,
        limit: ByteCount,
    ) -> Self {
        let ended = matches!(inner, PayloadDecoder::None);
        Self { inner, limit, ended }
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended
    }
}

impl Decoder for BodyDecoder {
    /// `None` marks the end of the body.
    type Item = Option<Bytes>;
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Option<Bytes>>, DecodeError> {
        let decoded = match &mut self.inner {
            PayloadDecoder::None => Decoded::Some(None),
            PayloadDecoder::Fixed(decoder) => match decoder.decode(src)? {
                Decoded::Some(bytes) => {
                    self.ended = true;
                    Decoded::Some(Some(bytes))
                }
                _ => Decoded::Insufficient,
            },
            PayloadDecoder::Streamed(decoder) => decoder.decode(src)?,
        };
        match &decoded {
            Decoded::Some(chunk) => self.ended |= chunk.is_none(),
            _ if src.len() as u64 > self.limit.get() => return Err(DecodeError::Chunked),
            _ => {}
        }
        Ok(decoded)
    }
}

use std::fmt::Display;
use std::str::FromStr;

use super::CodecError;

/// Maximum initial capacity of a decoded list. The encoded length is not trusted, so a list grows only as
/// values are decoded.
const INITIAL_LIST_CAPACITY: usize = 256;

/// Decodes values from the encoding of `Writer`. Never panics, and allocates at most a small multiple of the
/// input size.
#[derive(Debug)]
pub(crate) struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    pub(crate) const fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// Returns an error if bytes remain.
    pub(crate) const fn finish(self) -> Result<(), CodecError> {
        match self.0.len() {
            0 => Ok(()),
            left => Err(CodecError::Trailing(left)),
        }
    }

    pub(crate) fn byte(&mut self) -> Result<u8, CodecError> {
        let [byte] = self.fixed()?;
        Ok(byte)
    }

    pub(crate) fn flag(&mut self) -> Result<bool, CodecError> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            tag => Err(CodecError::Tag { what: "flag", tag }),
        }
    }

    pub(crate) fn varint(&mut self) -> Result<u64, CodecError> {
        let mut value = 0_u64;
        for shift in (0..u64::BITS).step_by(7) {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            if (bits << shift) >> shift != bits {
                return Err(CodecError::Number(u64::BITS));
            }
            value |= bits << shift;
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        Err(CodecError::Number(u64::BITS))
    }

    pub(crate) fn varint_u32(&mut self) -> Result<u32, CodecError> {
        u32::try_from(self.varint()?).map_err(|_| CodecError::Number(u32::BITS))
    }

    pub(crate) fn fixed<const N: usize>(&mut self) -> Result<[u8; N], CodecError> {
        match self.0.split_first_chunk() {
            Some((bytes, rest)) => {
                self.0 = rest;
                Ok(*bytes)
            }
            None => Err(CodecError::Truncated((N - self.0.len()) as u64)),
        }
    }

    pub(crate) fn bytes(&mut self) -> Result<&'a [u8], CodecError> {
        let len = self.len()?;
        let (bytes, rest) = self.0.split_at(len);
        self.0 = rest;
        Ok(bytes)
    }

    pub(crate) fn text(&mut self) -> Result<&'a str, CodecError> {
        let bytes = self.bytes()?;
        std::str::from_utf8(bytes).map_err(|e| CodecError::Text(e.to_string().into()))
    }

    pub(crate) fn parse<T: FromStr<Err: Display>>(&mut self) -> Result<T, CodecError> {
        self.text()?.parse().map_err(|e: T::Err| CodecError::Text(e.to_string().into()))
    }

    pub(crate) fn option<T>(
        &mut self,
        get: impl FnOnce(&mut Self) -> Result<T, CodecError>,
    ) -> Result<Option<T>, CodecError> {
        if self.flag()? { get(self).map(Some) } else { Ok(None) }
    }

    /// Decodes a list. Each value must be encoded in at least one byte, as its length is checked against the
    /// remaining bytes.
    pub(crate) fn list<T>(
        &mut self,
        mut get: impl FnMut(&mut Self) -> Result<T, CodecError>,
    ) -> Result<Vec<T>, CodecError> {
        let len = self.len()?;
        let mut values = Vec::with_capacity(len.min(INITIAL_LIST_CAPACITY));
        for _ in 0..len {
            values.push(get(self)?);
        }
        Ok(values)
    }

    /// Decodes a length, which must not exceed the number of remaining bytes.
    fn len(&mut self) -> Result<usize, CodecError> {
        let len = self.varint()?;
        match usize::try_from(len) {
            Ok(len) if len <= self.0.len() => Ok(len),
            _ => Err(CodecError::Truncated(len - self.0.len() as u64)),
        }
    }
}

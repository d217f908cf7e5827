//! Validated decoding of names, ids and list lengths. `field` names the value in errors.

use std::fmt::Display;
use std::str::FromStr;

use crate::peer::DecodeError;
use masticstair_core::id::ReplicaId;

/// Reads a name and parses it, which applies the rules of its type.
pub(crate) fn read_name<T>(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader<'_>>,
) -> Result<T, DecodeError>
where
    T: FromStr,
    T::Err: Display,
{
    let text = text?.to_str().map_err(|e| DecodeError::value(field, e))?;
    text.parse().map_err(|e| DecodeError::value(field, e))
}

/// Reads a name; empty text means none.
pub(crate) fn read_optional_name<T>(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader<'_>>,
) -> Result<Option<T>, DecodeError>
where
    T: FromStr,
    T::Err: Display,
{
    let text = text?;
    if text.is_empty() { Ok(None) } else { read_name(field, Ok(text)).map(Some) }
}

/// Reads UTF-8 text without further checks.
pub(crate) fn read_text(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader<'_>>,
) -> Result<Box<str>, DecodeError> {
    Ok(text?.to_str().map_err(|e| DecodeError::value(field, e))?.into())
}

/// Reads a replica id of exactly 16 bytes.
pub(crate) fn read_replica_id(
    field: &'static str,
    data: capnp::Result<capnp::data::Reader<'_>>,
) -> Result<ReplicaId, DecodeError> {
    let data = data?;
    let bytes = data.try_into().map_err(|_| {
        DecodeError::value(field, format_args!("{} bytes (16 are allowed)", data.len()))
    })?;
    Ok(ReplicaId::from_bytes(bytes))
}

/// Checks the length of a list; called before its items are decoded.
pub(crate) fn check_count(field: &'static str, count: u32, limit: u32) -> Result<(), DecodeError> {
    if count > limit { Err(DecodeError::TooMany { field, count, limit }) } else { Ok(()) }
}

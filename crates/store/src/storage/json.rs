//! JSON encoding of the few values that are rarely written.

use super::StorageError;
use serde::Serialize;

/// Encodes a value as JSON.
pub(crate) fn encode_json(
    what: &'static str,
    value: &impl Serialize,
) -> Result<Vec<u8>, StorageError> {
    serde_json::to_vec(value)
        .map_err(|e| StorageError::Encoding { what, message: e.to_string().into() })
}

//! JSON encoding of values that are written rarely: voter sets and snapshot metadata.

use super::StorageError;
use serde::Serialize;

/// Encodes a value as JSON. `what` names it in the error.
pub(crate) fn encode_json(
    what: &'static str,
    value: &impl Serialize,
) -> Result<Vec<u8>, StorageError> {
    serde_json::to_vec(value)
        .map_err(|e| StorageError::Encoding { what, message: e.to_string().into() })
}

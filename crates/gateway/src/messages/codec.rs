use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message or a reply.
///
/// # Errors
///
/// Returns the encoder's error text.
pub fn encode(value: &impl Serialize) -> Result<Box<[u8]>, Box<str>> {
    postcard::to_allocvec(value).map(Into::into).map_err(|e| e.to_string().into())
}

/// Decodes a message or a reply.
///
/// # Errors
///
/// Returns the decoder's error text.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Box<str>> {
    postcard::from_bytes(bytes).map_err(|e| e.to_string().into())
}

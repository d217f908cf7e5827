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

/// Stand-in for the fields that a peer of an earlier build does not send: empty lists and zeros.
const ABSENT_FIELDS: [u8; 16] = [0; 16];

/// Decodes a message or a reply. New fields are added at the end of the last struct: earlier builds ignore what follows
/// the fields that they know, and fields that an earlier build did not send are read as empty or 0.
///
/// # Errors
///
/// Returns the decoder's error text.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Box<str>> {
    postcard::from_bytes(bytes)
        .or_else(|e| match e {
            postcard::Error::DeserializeUnexpectedEnd => {
                postcard::from_bytes(&[bytes, &ABSENT_FIELDS].concat())
            }
            e => Err(e),
        })
        .map_err(|e| e.to_string().into())
}

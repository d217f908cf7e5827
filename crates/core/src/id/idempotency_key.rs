use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

use super::IdempotencyKeyError;
use crate::unit::WallTime;

/// Equal to the limit in characters, since valid keys are ASCII.
const MAX_KEY_BYTES: usize = 128;

/// A key for which a request of a client account runs at most once.
///
/// Consists of 1 to 128 visible ASCII characters. The creation time in a UUIDv7 shows that an old key has
/// expired, so that its record can be deleted after the retention period without the risk of a second run.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Returns the key in the form in which the client sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the creation time if the key is a UUIDv7 (RFC 9562, section 5.7).
    pub fn created(&self) -> Option<WallTime> {
        let uuid = Uuid::parse_str(&self.0).ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = uuid.get_timestamp()?.to_unix();
        Some(WallTime::new(secs * 1_000 + u64::from(nanos) / 1_000_000))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdempotencyKeyError;

    fn from_str(s: &str) -> Result<Self, IdempotencyKeyError> {
        if s.is_empty() || s.len() > MAX_KEY_BYTES {
            return Err(IdempotencyKeyError::Length(s.chars().count()));
        }
        if !s.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(IdempotencyKeyError::Character);
        }
        Ok(Self(s.into()))
    }
}

impl TryFrom<Box<str>> for IdempotencyKey {
    type Error = IdempotencyKeyError;

    fn try_from(s: Box<str>) -> Result<Self, IdempotencyKeyError> {
        s.parse()
    }
}

impl From<IdempotencyKey> for Box<str> {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}

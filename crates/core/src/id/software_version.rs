use std::fmt::{Display, Formatter};
use std::str::FromStr;

use super::NameError;

/// The length limit of a version.
const MAX_CHARS: usize = 64;

/// The version of the software that an endpoint runs, not of its weights: 1 to 64 characters. Versions are equal or
/// different; they have no order.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Serialize)]
#[serde(transparent)]
pub struct SoftwareVersion(Box<str>);

impl Display for SoftwareVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = NameError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s.chars().count() {
            0 => Err(NameError::Empty),
            count if count > MAX_CHARS => Err(NameError::TooLong(count)),
            _ => Ok(Self(s.into())),
        }
    }
}

impl<'de> serde::Deserialize<'de> for SoftwareVersion {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

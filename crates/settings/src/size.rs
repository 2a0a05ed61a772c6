//! Sizes in bytes, written with a binary unit such as `128MiB`.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Units with their number of bytes, from the largest to the smallest. Parsing takes the first unit
/// that ends the text, so `B` must be last.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Number of bytes. Text has the form `128MiB` or `128 MiB`; the number is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// Error for a text that is not a size or exceeds 64 bits; holds the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a size; write a number and B, KiB, MiB or GiB")]
pub struct ParseError(String);

impl Size {
    /// Returns the number of bytes as `usize`; `usize::MAX` if it is larger.
    pub fn bytes(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for Size {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let malformed = || ParseError(text.to_owned());
        let (unit, factor) = UNITS
            .into_iter()
            .find(|(unit, _)| text.ends_with(unit))
            .ok_or_else(malformed)?;
        let number: u64 = text[..text.len() - unit.len()]
            .trim()
            .parse()
            .map_err(|_| malformed())?;
        number.checked_mul(factor).map(Size).ok_or_else(malformed)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, factor) = UNITS
            .into_iter()
            .find(|(_, factor)| self.0.is_multiple_of(*factor) && self.0 >= *factor)
            .unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / factor)
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let text = String::deserialize(de)?;
        text.parse().map_err(D::Error::custom)
    }
}

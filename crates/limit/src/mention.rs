//! What one response says of a limit.

use crate::Rate;

/// The value is no number of requests a second.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is no number of requests a second")]
pub struct Malformed;

/// What one response says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mention {
    /// It names none, so there is none any more.
    #[default]
    Absent,
    /// It names this one.
    Named(Rate),
    /// It names one that can't be read. What was said before holds on.
    Malformed,
}

/// Returns the limit that a header's value names: a decimal number, 0 or more.
pub fn parse(value: &str) -> Result<Rate, Malformed> {
    let rate: Rate = value.trim().parse().map_err(|_| Malformed)?;
    match rate.is_finite() && rate >= 0.0 {
        true => Ok(rate),
        false => Err(Malformed),
    }
}

//! The value of `Retry-After`: seconds, also with a fraction, or a date.

use std::time::Duration;

use crate::MAX_PAUSE;

/// The value is neither a number of seconds nor a date that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It is neither.
    #[error("is neither a number of seconds nor a date")]
    Syntax,
    /// It is a number below zero or not finite.
    #[error("is no duration")]
    Range,
    /// It is a date, and the response has no date of its own to which it could be compared. This
    /// host's time of day may be wrong.
    #[error("is a date in a response without one")]
    Undated,
}

/// Returns the wait that a value asks for, at most [`MAX_PAUSE`]. `date` is the response's own date, in
/// the same clock as the value.
pub fn parse(value: &str, date: Option<&str>) -> Result<Duration, Malformed> {
    let value = value.trim();
    if let Ok(seconds) = value.parse::<f64>() {
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(Malformed::Range);
        }
        return Ok(Duration::from_secs_f64(
            seconds.min(MAX_PAUSE.as_secs_f64()),
        ));
    }
    let until = httpdate::parse_http_date(value).map_err(|_| Malformed::Syntax)?;
    let date = date.and_then(|date| httpdate::parse_http_date(date.trim()).ok());
    let wait = until.duration_since(date.ok_or(Malformed::Undated)?);
    // A date that has passed asks for nothing.
    Ok(wait.unwrap_or_default().min(MAX_PAUSE))
}

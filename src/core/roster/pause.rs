//! The pause that an endpoint asks for with `Retry-After`.

use derive_more::Display;
use derive_more::Error;

use crate::clock::Millis;

/// The longest pause that is respected. A mistaken value must not keep an endpoint without work for
/// hours.
pub const MAX_PAUSE: Millis = Millis::seconds(120);

/// A `Retry-After` that is not a number of seconds, such as a date. It is treated as absent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a number of seconds")]
pub struct PauseError;

/// Parses the value of `Retry-After`: seconds, which may include a fraction, up to [`MAX_PAUSE`].
///
/// # Errors
///
/// Fails if the value is not a finite number that is 0 or higher.
pub fn parse_pause(text: &str) -> Result<Millis, PauseError> {
    let seconds: f64 = text.trim().parse().map_err(|_| PauseError)?;
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(PauseError);
    }
    let millis = (seconds * 1000.0).ceil();
    Ok(Millis(millis as u64).min(MAX_PAUSE))
}

//! The check that a chain runs every layer of a model exactly once, in order.

use derive_more::Display;
use derive_more::Error;

use crate::core::session::event::Leg;

/// Why a chain cannot carry a session.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ChainError {
    /// A leg does not begin where the one before it ends.
    #[display("leg {leg} begins at layer {from}, not at {want}")]
    Gap {
        /// The leg's place.
        leg: usize,
        /// Where it begins.
        from: u32,
        /// Where it has to begin.
        want: u32,
    },
    /// A leg holds no layer.
    #[display("leg {leg} holds no layer")]
    Empty {
        /// The leg's place.
        leg: usize,
    },
    /// The last leg does not end with the model's last layer.
    #[display("the chain ends at layer {to}, not at {want}")]
    Short {
        /// Where the chain ends.
        to: u32,
        /// The number of layers.
        want: u32,
    },
}

/// Checks that the legs cover `0..layers` exactly once, in order.
///
/// # Errors
///
/// Returns the first gap, overlap or empty leg.
pub fn check(legs: &[Leg], layers: u32) -> Result<(), ChainError> {
    let mut at = 0;
    for (leg, Leg { layers, .. }) in legs.iter().enumerate() {
        if layers.from != at {
            return Err(ChainError::Gap {
                leg,
                from: layers.from,
                want: at,
            });
        }
        if layers.to <= layers.from {
            return Err(ChainError::Empty { leg });
        }
        at = layers.to;
    }
    if at != layers || legs.is_empty() {
        return Err(ChainError::Short {
            to: at,
            want: layers,
        });
    }
    Ok(())
}

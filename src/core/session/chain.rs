//! Checks that a chain runs every layer of a model exactly once, in order.

use derive_more::Display;
use derive_more::Error;

use crate::core::session::event::Leg;

/// Why a chain does not cover a model.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ChainError {
    /// A leg does not start at the layer where the previous one ends: a gap or an overlap.
    #[display("leg {leg} begins at layer {from}, not at {want}")]
    Gap {
        /// The index of the leg in the chain.
        leg: usize,
        /// The first layer of the leg.
        from: u32,
        /// The layer at which the leg should start.
        want: u32,
    },
    /// A leg has an empty layer range.
    #[display("leg {leg} holds no layer")]
    Empty {
        /// The index of the leg in the chain.
        leg: usize,
    },
    /// The chain is empty or does not end with the model's last layer.
    #[display("the chain ends at layer {to}, not at {want}")]
    Short {
        /// The end of the last leg's range, exclusive; 0 for an empty chain.
        to: u32,
        /// The number of layers of the model.
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

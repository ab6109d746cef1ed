//! The arithmetic in place of a model.
//!
//! The token is a pure function of the seed, of all tokens before it, and of every layer applied
//! once in order; a layer that is left out, repeated or out of place changes it. So whoever knows
//! the prompt can tell by [`generate_tokens`] whether an answer is right.

use derive_more::Display;

const ALPHABET: &[u8] = b"abcdefghijklmnopqrstuvwxyz ";
/// One token in this many ends an answer.
const END_DIVISOR: u64 = 97;

/// The activations between two ranges of layers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{layer}:{value:x}")]
pub(super) struct Activation {
    /// The layer that comes next.
    pub(super) layer: u32,
    value: u64,
}

/// Activations that cannot be read.
#[derive(Clone, Copy, Debug)]
pub(super) struct InvalidActivation;

impl std::str::FromStr for Activation {
    type Err = InvalidActivation;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (layer, value) = text.split_once(':').ok_or(InvalidActivation)?;
        let layer = layer.parse().map_err(|_| InvalidActivation)?;
        let value = u64::from_str_radix(value, 16).map_err(|_| InvalidActivation)?;
        Ok(Self { layer, value })
    }
}

impl Activation {
    /// Embeds all tokens so far, to draw the one with the index `token`.
    pub(super) fn embed(seed: u64, token: u32, tokens: &[u32]) -> Self {
        let start = mix(seed ^ u64::from(token));
        let value = tokens
            .iter()
            .fold(start, |value, token| mix(value ^ u64::from(*token)));
        Self { layer: 0, value }
    }

    /// Applies the layers up to `to`.
    pub(super) fn run(mut self, to: u32) -> Self {
        while self.layer < to {
            self.value = mix(self.value ^ (u64::from(self.layer) + 1));
            self.layer += 1;
        }
        self
    }

    /// Draws the token.
    pub(super) fn token(self) -> u32 {
        let letter = (self.value >> 32) as usize % ALPHABET.len();
        u32::from(ALPHABET[letter])
    }

    /// Says whether the answer ends with this token.
    pub(super) fn ends(self) -> bool {
        self.value.is_multiple_of(END_DIVISOR)
    }
}

/// Returns the tokens that a model of `layers` layers gives to a prompt, at most `limit`.
pub fn generate_tokens(seed: u64, prompt: &[u32], layers: u32, limit: usize) -> Vec<u32> {
    let mut tokens = prompt.to_vec();
    let mut drawn = Vec::new();
    for index in 0..limit {
        let end = Activation::embed(seed, index as u32, &tokens).run(layers);
        tokens.push(end.token());
        drawn.push(end.token());
        if end.ends() {
            break;
        }
    }
    drawn
}

/// Mixes the bits of a number by the finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

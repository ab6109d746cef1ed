//! Deterministic arithmetic in place of a model.
//!
//! A token is a pure function of the seed, all tokens before it, and each layer applied once, in
//! order. A layer that is skipped, repeated or out of order changes the token, so anyone who knows
//! the prompt can check an answer with [`generate_tokens`].

use derive_more::Display;

const ALPHABET: &[u8] = b"abcdefghijklmnopqrstuvwxyz ";
/// On average, one token in this many ends an answer.
const END_DIVISOR: u64 = 97;

/// The activations between two ranges of layers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{layer}:{value:x}")]
pub(super) struct Activation {
    /// The index of the next layer to apply.
    pub(super) layer: u32,
    value: u64,
}

/// The text is not an activation of the form `layer:hex`.
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
    /// Computes the input of the first layer for the token with the index `token`.
    pub(super) fn embed(seed: u64, token: u32, tokens: &[u32]) -> Self {
        let start = hash(seed ^ u64::from(token));
        let value = tokens
            .iter()
            .fold(start, |value, token| hash(value ^ u64::from(*token)));
        Self { layer: 0, value }
    }

    /// Applies the layers from `self.layer` up to, but not including, `to`.
    pub(super) fn apply_layers(mut self, to: u32) -> Self {
        while self.layer < to {
            self.value = hash(self.value ^ (u64::from(self.layer) + 1));
            self.layer += 1;
        }
        self
    }

    /// Returns the token for activations that have passed all layers.
    pub(super) fn token(self) -> u32 {
        let letter = (self.value >> 32) as usize % ALPHABET.len();
        u32::from(ALPHABET[letter])
    }

    /// Returns whether the answer ends with this token.
    pub(super) fn ends(self) -> bool {
        self.value.is_multiple_of(END_DIVISOR)
    }
}

/// Returns the answer of a model with `layers` layers to a prompt, of at most `limit` tokens.
pub fn generate_tokens(seed: u64, prompt: &[u32], layers: u32, limit: usize) -> Vec<u32> {
    let mut tokens = prompt.to_vec();
    let mut drawn = Vec::new();
    for index in 0..limit {
        let end = Activation::embed(seed, index as u32, &tokens).apply_layers(layers);
        tokens.push(end.token());
        drawn.push(end.token());
        if end.ends() {
            break;
        }
    }
    drawn
}

/// Hashes a number with the finalizer of `SplitMix64`.
fn hash(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

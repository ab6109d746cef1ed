//! The tokens of one answer: the prompt, what was drawn so far, and what the caller has of it.

use crate::core::session::resume::EventId;
use crate::core::session::resume::RollingDigest;

/// What becomes of a token that was just drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// The caller gets it under this event id.
    Emit(EventId),
    /// The caller has it from an earlier stream.
    Skip,
    /// The answer differs from the part that the caller has.
    Mismatch,
}

/// The tokens of one answer.
#[derive(Debug)]
pub struct Answer {
    /// The prompt and the tokens drawn so far, as the next prefill needs them.
    tokens: Vec<u32>,
    prompt_len: u32,
    max_tokens: u32,
    seed: u64,
    rolling: RollingDigest,
    /// The last event that the caller has, until the regenerated answer was held against it.
    resume_from: Option<EventId>,
}

impl Answer {
    /// Starts the answer to a prompt, of which the caller may have a part already.
    pub fn new(prompt: Vec<u32>, max_tokens: u32, seed: u64, resume_from: Option<EventId>) -> Self {
        let seed = resume_from.map_or(seed, |event| event.seed);
        Self {
            prompt_len: prompt.len() as u32,
            max_tokens,
            seed,
            rolling: RollingDigest::new(seed, &prompt),
            tokens: prompt,
            resume_from,
        }
    }

    /// Returns how many tokens were drawn, which is the index of the next.
    pub fn generated(&self) -> u32 {
        self.len() - self.prompt_len
    }

    /// Returns how many tokens may still be drawn.
    pub fn remaining(&self) -> u32 {
        self.max_tokens - self.generated()
    }

    /// Returns the seed of the sampling.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the number of positions of the prompt and the tokens drawn.
    pub fn len(&self) -> u32 {
        self.tokens.len() as u32
    }

    /// Returns the prompt and the tokens drawn.
    pub fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    /// Adds a token; `last` says that the answer ends with it.
    pub fn push(&mut self, value: u32, last: bool) -> TokenAction {
        let index = self.generated();
        self.tokens.push(value);
        self.rolling = self.rolling.with_token(value);
        let event = EventId {
            index,
            digest: self.rolling.value(),
            seed: self.seed,
        };
        match self.resume_from {
            None => TokenAction::Emit(event),
            Some(received) if received == event => {
                self.resume_from = None;
                TokenAction::Skip
            }
            Some(received) if last || event.index >= received.index => TokenAction::Mismatch,
            Some(_) => TokenAction::Skip,
        }
    }
}

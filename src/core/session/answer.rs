//! The tokens of one answer: the prompt, what was drawn so far, and what the caller has of it.

use crate::core::session::resume::EventId;
use crate::core::session::resume::Rolling;

/// What becomes of a token that was just drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The caller gets it under this event id.
    Emit(EventId),
    /// The caller has it from an earlier stream.
    Held,
    /// The answer differs from the part that the caller has.
    Differs,
}

/// The tokens of one answer.
#[derive(Debug)]
pub struct Answer {
    /// The prompt and the tokens drawn so far, as the next prefill needs them.
    tokens: Vec<u32>,
    prompt_len: u32,
    limit: u32,
    seed: u64,
    rolling: Rolling,
    /// The last event that the caller has, until the regenerated answer was held against it.
    held: Option<EventId>,
}

impl Answer {
    /// Starts the answer to a prompt, of which the caller may have a part already.
    pub fn new(prompt: Vec<u32>, limit: u32, seed: u64, held: Option<EventId>) -> Self {
        let seed = held.map_or(seed, |event| event.seed);
        Self {
            prompt_len: prompt.len() as u32,
            limit,
            seed,
            rolling: Rolling::start(seed, &prompt),
            tokens: prompt,
            held,
        }
    }

    /// Returns how many tokens were drawn, which is the index of the next.
    pub fn given(&self) -> u32 {
        self.len() - self.prompt_len
    }

    /// Returns how many tokens may still be drawn.
    pub fn left(&self) -> u32 {
        self.limit - self.given()
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
    pub fn take(&mut self, value: u32, last: bool) -> Taken {
        let index = self.given();
        self.tokens.push(value);
        self.rolling = self.rolling.with(value);
        let event = EventId {
            index,
            digest: self.rolling.value(),
            seed: self.seed,
        };
        match self.held {
            None => Taken::Emit(event),
            Some(held) if held == event => {
                self.held = None;
                Taken::Held
            }
            Some(held) if last || event.index >= held.index => Taken::Differs,
            Some(_) => Taken::Held,
        }
    }
}

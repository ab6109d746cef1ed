//! The tokens of one answer: the prompt, the tokens generated so far, and the event that a
//! resumed stream continues after.

use crate::core::session::resume::EventId;
use crate::core::session::resume::RollingDigest;

/// What to do with a token that was just generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// Send it to the caller with this event id.
    Emit(EventId),
    /// Don't send it: the caller received it before its stream broke.
    Skip,
    /// Fail the request: the regenerated answer differs from the part that the caller received.
    Mismatch,
}

/// The prompt and the tokens generated for it.
#[derive(Debug)]
pub struct Answer {
    /// The prompt followed by the generated tokens: the input of the next prefill.
    tokens: Vec<u32>,
    prompt_len: u32,
    max_tokens: u32,
    seed: u64,
    rolling: RollingDigest,
    /// The last event that the caller received before its stream broke; `None` for a new request
    /// and once the regenerated answer has matched it.
    resume_from: Option<EventId>,
}

impl Answer {
    /// Starts an answer. With `resume_from`, generation starts over with the seed of that event,
    /// and tokens up to its index are compared with it but not sent.
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

    /// Returns the number of tokens generated so far, which is the index of the next one.
    pub fn generated(&self) -> u32 {
        self.len() - self.prompt_len
    }

    /// Returns how many more tokens the request allows.
    pub fn remaining(&self) -> u32 {
        self.max_tokens - self.generated()
    }

    /// Returns the sampling seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the length in tokens of the prompt and the generated part together.
    pub fn len(&self) -> u32 {
        self.tokens.len() as u32
    }

    /// Returns the prompt followed by the generated tokens.
    pub fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    /// Appends a generated token; `last` is true if the answer ends with it.
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

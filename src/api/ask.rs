//! Requests for completions.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;

use super::answer::Shape;
use super::text::tokens;
use crate::names::ServiceName;

/// The most tokens that one request may ask for.
const MOST_TOKENS: u32 = 32_768;
/// The tokens that a request gets if it names no number.
const SOME_TOKENS: u32 = 256;

/// A request for a completion, of either shape.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The model.
    pub model: ServiceName,
    /// The prompt's tokens.
    pub prompt: Vec<u32>,
    /// The most tokens to give.
    pub limit: u32,
    /// The seed of the sampling.
    pub seed: u64,
    /// Whether to stream.
    pub stream: bool,
    /// The shape of the answer.
    pub shape: Shape,
}

/// A request that is refused.
#[derive(Debug, Display, Error, From)]
pub enum AskError {
    /// The body is no JSON of the expected form.
    #[display("the body is not a request: {_0}")]
    Json(serde_json::Error),
    /// The prompt is empty.
    #[display("the prompt is empty")]
    #[from(skip)]
    Empty,
    /// The number of tokens is out of range.
    #[display("max_tokens is 1 to {MOST_TOKENS}")]
    #[from(skip)]
    Limit,
    /// More than one answer is asked for.
    #[display("n other than 1 is not supported")]
    #[from(skip)]
    Several,
    /// Stop sequences are asked for.
    #[display("stop is not supported")]
    #[from(skip)]
    Stop,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: ServiceName,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    stop: Option<serde_json::Value>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Texts([String; 1]),
    Tokens(Vec<u32>),
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    text: String,
}

impl Ask {
    /// Reads the body of `/v1/completions` or `/v1/chat/completions`.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or asks for what is not supported; nothing was run then.
    pub fn parse(body: &[u8], shape: Shape) -> Result<Self, AskError> {
        let body: Body = serde_json::from_slice(body)?;
        body.check()?;
        let prompt = match shape {
            Shape::Text => body.prompt.map(Prompt::tokens).unwrap_or_default(),
            Shape::Chat => chat(&body.messages),
        };
        if prompt.is_empty() {
            return Err(AskError::Empty);
        }
        let limit = body.max_tokens.unwrap_or(SOME_TOKENS);
        let seed = body.seed.unwrap_or(0);
        Ok(Self {
            model: body.model,
            prompt,
            limit,
            seed,
            stream: body.stream,
            shape,
        })
    }
}

impl Body {
    fn check(&self) -> Result<(), AskError> {
        if self.n.is_some_and(|count| count != 1) {
            return Err(AskError::Several);
        }
        if self.stop.as_ref().is_some_and(|stop| !stop.is_null()) {
            return Err(AskError::Stop);
        }
        if !(1..=MOST_TOKENS).contains(&self.max_tokens.unwrap_or(SOME_TOKENS)) {
            return Err(AskError::Limit);
        }
        Ok(())
    }
}

impl Prompt {
    fn tokens(self) -> Vec<u32> {
        match self {
            Self::Text(text) | Self::Texts([text]) => tokens(&text),
            Self::Tokens(tokens) => tokens,
        }
    }
}

impl Content {
    fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

/// Writes a conversation as one text, a line a message.
fn chat(messages: &[Message]) -> Vec<u32> {
    if messages.is_empty() {
        return Vec::new();
    }
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content.text());
        text.push('\n');
    }
    text.push_str("assistant: ");
    tokens(&text)
}

//! Bodies of completion requests.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;

use super::response::CompletionKind;
use super::text::tokenize;
use crate::names::ServiceName;

/// The maximum of `max_tokens`.
const MAX_TOKENS: u32 = 32_768;
/// The number of tokens if a request doesn't set `max_tokens`.
const DEFAULT_TOKENS: u32 = 256;

/// A validated completion request of either API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The service name of the model.
    pub model: ServiceName,
    /// The prompt as token ids, never empty.
    pub prompt: Vec<u32>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The seed for sampling; 0 if the caller gives none.
    pub seed: u64,
    /// Whether to send the answer as a stream of events.
    pub stream: bool,
    /// The API that was called.
    pub kind: CompletionKind,
}

/// Why a completion request is refused.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The body is not JSON, or lacks a field or has one of the wrong type.
    #[display("the body is not a request: {_0}")]
    Json(serde_json::Error),
    /// The prompt or the list of messages is empty or missing.
    #[display("the prompt is empty")]
    #[from(skip)]
    EmptyPrompt,
    /// `max_tokens` is 0 or too large.
    #[display("max_tokens is 1 to {MAX_TOKENS}")]
    #[from(skip)]
    MaxTokens,
    /// `n` asks for a number of choices other than 1.
    #[display("n other than 1 is not supported")]
    #[from(skip)]
    MultipleChoices,
    /// `stop` is set, but stop sequences are not supported.
    #[display("stop is not supported")]
    #[from(skip)]
    StopSequences,
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

impl CompletionRequest {
    /// Parses the body of a request to `/v1/completions` or `/v1/chat/completions`.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or uses an unsupported option; no work was started then.
    pub fn parse(body: &[u8], kind: CompletionKind) -> Result<Self, RequestError> {
        let body: Body = serde_json::from_slice(body)?;
        body.check()?;
        let prompt = match kind {
            CompletionKind::Text => body.prompt.map(Prompt::tokens).unwrap_or_default(),
            CompletionKind::Chat => chat_prompt(&body.messages),
        };
        if prompt.is_empty() {
            return Err(RequestError::EmptyPrompt);
        }
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let seed = body.seed.unwrap_or(0);
        Ok(Self {
            model: body.model,
            prompt,
            max_tokens,
            seed,
            stream: body.stream,
            kind,
        })
    }
}

impl Body {
    fn check(&self) -> Result<(), RequestError> {
        if self.n.is_some_and(|count| count != 1) {
            return Err(RequestError::MultipleChoices);
        }
        if self.stop.as_ref().is_some_and(|stop| !stop.is_null()) {
            return Err(RequestError::StopSequences);
        }
        if !(1..=MAX_TOKENS).contains(&self.max_tokens.unwrap_or(DEFAULT_TOKENS)) {
            return Err(RequestError::MaxTokens);
        }
        Ok(())
    }
}

impl Prompt {
    fn tokens(self) -> Vec<u32> {
        match self {
            Self::Text(text) | Self::Texts([text]) => tokenize(&text),
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

/// Renders a conversation as text with one line per message, and tokenizes it.
fn chat_prompt(messages: &[Message]) -> Vec<u32> {
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
    tokenize(&text)
}

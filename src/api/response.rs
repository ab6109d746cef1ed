//! Bodies of completion responses, whole and streamed, and of the list of models.

use serde::Serialize;

use crate::clock::Millis;
use crate::names::ServiceName;

/// The API through which a completion is requested, which sets the form of its JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/completions`: the prompt is text or token ids, the answer text.
    Text,
    /// `/v1/chat/completions`: the prompt and the answer are messages.
    Chat,
}

/// The fields that all chunks of one completion have in common.
#[derive(Clone, Debug)]
pub struct CompletionResponse {
    /// The completion's id, the same in every chunk.
    pub id: String,
    /// When the request arrived; sent in seconds since the Unix epoch.
    pub created: Millis,
    /// The model that was requested.
    pub model: ServiceName,
    /// The API that was called.
    pub kind: CompletionKind,
}

/// The body of `/v1/models`: the models that a team may call.
#[derive(Debug, Serialize)]
pub struct Models {
    /// Always `list`.
    pub object: &'static str,
    /// One entry for each model.
    pub data: Vec<Model>,
}

/// A model in the list of models.
#[derive(Debug, Serialize)]
pub struct Model {
    /// The name that requests give as `model`.
    pub id: ServiceName,
    /// Always `model`.
    pub object: &'static str,
    /// The name of the system that serves the model.
    pub owned_by: &'static str,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a ServiceName,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    #[serde(rename = "prompt_tokens")]
    prompt: usize,
    #[serde(rename = "completion_tokens")]
    completion: usize,
    #[serde(rename = "total_tokens")]
    total: usize,
}

const ASSISTANT: &str = "assistant";

impl CompletionResponse {
    /// Returns the body of a response that isn't streamed.
    ///
    /// `prompt` and `completion` are numbers of tokens.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be serialized as JSON.
    pub fn full_json(
        &self,
        text: &str,
        finish_reason: &str,
        prompt: usize,
        completion: usize,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let mut choice = Choice::new(Some(finish_reason));
        let object = match self.kind {
            CompletionKind::Text => {
                choice.text = Some(text);
                "text_completion"
            }
            CompletionKind::Chat => {
                choice.message = Some(Message {
                    role: ASSISTANT,
                    content: text,
                });
                "chat.completion"
            }
        };
        let total = prompt + completion;
        let usage = Usage {
            prompt,
            completion,
            total,
        };
        serde_json::to_vec(&self.body(object, choice, Some(usage)))
    }

    /// Returns one chunk of a streamed response.
    ///
    /// `first` marks the first chunk, which gives the role in a chat; `finish_reason` is set on the
    /// last one.
    ///
    /// # Errors
    ///
    /// Fails if the chunk can't be serialized as JSON.
    pub fn chunk_json(
        &self,
        text: &str,
        first: bool,
        finish_reason: Option<&str>,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let mut choice = Choice::new(finish_reason);
        let object = match self.kind {
            CompletionKind::Text => {
                choice.text = Some(text);
                "text_completion"
            }
            CompletionKind::Chat => {
                let role = first.then_some(ASSISTANT);
                choice.delta = Some(Delta {
                    role,
                    content: text,
                });
                "chat.completion.chunk"
            }
        };
        serde_json::to_vec(&self.body(object, choice, None))
    }

    fn body<'a>(
        &'a self,
        object: &'static str,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Body<'a> {
        Body {
            id: &self.id,
            object,
            created: self.created.0 / 1000,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }
}

impl<'a> Choice<'a> {
    fn new(finish_reason: Option<&'a str>) -> Self {
        Self {
            index: 0,
            text: None,
            message: None,
            delta: None,
            finish_reason,
        }
    }
}

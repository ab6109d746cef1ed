//! Completions, as one JSON body or as a stream of server-sent events, and the list of models.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CACHE_CONTROL;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;

use super::answer;
use super::digest;
use super::plain::caller_timeout;
use super::send;
use crate::api::CompletionKind;
use crate::api::CompletionRequest;
use crate::api::CompletionResponse;
use crate::api::Detokenizer;
use crate::api::ErrorBody;
use crate::api::Model;
use crate::api::Models;
use crate::clock::Millis;
use crate::core::daemon::Call;
use crate::core::daemon::CallKind;
use crate::core::daemon::Event;
use crate::core::session::event::Reason;
use crate::core::session::resume::EventId;
use crate::error::Code;
use crate::error::Failure;
use crate::io::command::Command;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::shell::Caller;
use crate::io::shell::Shell;

/// The header with the id of the last event that the caller received before its stream broke.
const LAST_EVENT_HEADER: HeaderName = HeaderName::from_static("last-event-id");
/// The event that ends a complete stream.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// Serves a request for a completion.
pub(super) async fn serve(
    conn: &mut Conn,
    shell: &Shell,
    request: &Request,
    kind: CompletionKind,
) -> Result<(), HttpError> {
    if request.method != Method::POST {
        let failure = Failure::not_run(Code::MethodNotAllowed, "The method is POST.");
        return send(conn, shell, &answer::from_failure(failure), false).await;
    }
    let caller = shell.register_caller();
    let writer = match start_call(shell, &caller, request, kind) {
        Ok(writer) => writer,
        Err(failure) => return send(conn, shell, &answer::from_failure(failure), false).await,
    };
    run_commands(conn, shell, &caller, writer).await
}

/// Serves a request for the list of models.
pub(super) async fn list(
    conn: &mut Conn,
    shell: &Shell,
    request: &Request,
) -> Result<(), HttpError> {
    let caller = shell.register_caller();
    let token = digest::token(request);
    let call = Call {
        id: caller.id,
        token,
        deadline: shell.now(),
        kind: CallKind::Models,
    };
    shell.feed(Event::Call(call));
    let response = match caller.next_command().await {
        Command::Models(names) => {
            let model = |id| Model {
                id,
                object: "model",
                owned_by: "cornelwharf",
            };
            let data = names.into_iter().map(model).collect();
            Response::json(
                StatusCode::OK,
                &Models {
                    object: "list",
                    data,
                },
            )
        }
        Command::Fail(failure) => answer::from_failure(failure),
        _ => return Err(HttpError::Closed),
    };
    send(conn, shell, &response, request.method == Method::HEAD).await
}

/// Writes one answer to a caller as its tokens arrive.
#[derive(Debug)]
struct AnswerWriter {
    answer: CompletionResponse,
    stream: bool,
    prompt_tokens: usize,
    text: Detokenizer,
    full_text: String,
    token_count: usize,
    is_started: bool,
    last_token: Millis,
}

fn start_call(
    shell: &Shell,
    caller: &Caller,
    request: &Request,
    kind: CompletionKind,
) -> Result<AnswerWriter, Failure> {
    let completion = CompletionRequest::parse(&request.body, kind)
        .map_err(|error| Failure::not_run(Code::BadRequest, error.to_string()))?;
    let now = shell.now();
    let resume = resume_event(request)?;
    let writer = AnswerWriter {
        answer: CompletionResponse {
            id: format!("cmpl-{}", caller.id.0),
            created: now,
            model: completion.model.clone(),
            kind,
        },
        stream: completion.stream,
        prompt_tokens: completion.prompt.len(),
        text: Detokenizer::default(),
        full_text: String::new(),
        token_count: 0,
        is_started: false,
        last_token: now,
    };
    let call = Call {
        id: caller.id,
        token: digest::token(request),
        deadline: now + caller_timeout(request)?,
        kind: CallKind::Model {
            service: completion.model,
            prompt: completion.prompt,
            limit: completion.max_tokens,
            seed: completion.seed,
            resume,
        },
    };
    shell.feed(Event::Call(call));
    Ok(writer)
}

fn resume_event(request: &Request) -> Result<Option<EventId>, Failure> {
    let Some(value) = request.headers.get(&LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    let event = value.to_str().ok().and_then(|text| text.parse().ok());
    let invalid = || {
        Failure::not_run(
            Code::BadRequest,
            "Last-Event-ID is not an id of this service.",
        )
    };
    event.map(Some).ok_or_else(invalid)
}

async fn run_commands(
    conn: &mut Conn,
    shell: &Shell,
    caller: &Caller,
    mut writer: AnswerWriter,
) -> Result<(), HttpError> {
    loop {
        let command = monoio::select! {
            command = caller.next_command() => command,
            () = conn.reader.closed() => {
                shell.feed(Event::CallerLeft(caller.id));
                return Err(HttpError::Closed);
            }
        };
        let done = match command {
            Command::Token { value, event } => {
                let interval = shell.now().since(writer.last_token);
                shell.metrics().token(writer.token_count == 0, interval);
                writer.last_token = shell.now();
                writer
                    .write_token(conn, shell, value, event)
                    .await
                    .map(|()| false)
            }
            Command::Finish(reason) => writer.finish(conn, shell, reason).await.map(|()| true),
            Command::Fail(failure) => writer.fail(conn, shell, failure).await.map(|()| true),
            _ => Err(HttpError::Closed),
        };
        match done {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => {
                shell.feed(Event::CallerLeft(caller.id));
                return Err(error);
            }
        }
    }
}

impl AnswerWriter {
    async fn write_token(
        &mut self,
        conn: &mut Conn,
        shell: &Shell,
        value: u32,
        event: EventId,
    ) -> Result<(), HttpError> {
        let text = self.text.push(value);
        let first = self.token_count == 0;
        self.token_count += 1;
        if !self.stream {
            self.full_text.push_str(&text);
            return Ok(());
        }
        self.start_stream(conn, shell).await?;
        let part = self
            .answer
            .chunk_json(&text, first, None)
            .map_err(|_| HttpError::Malformed)?;
        let mut chunk = format!("id: {event}\ndata: ").into_bytes();
        chunk.extend_from_slice(&part);
        chunk.extend_from_slice(b"\n\n");
        conn.writer.chunk(&chunk).await
    }

    async fn finish(
        &mut self,
        conn: &mut Conn,
        shell: &Shell,
        reason: Reason,
    ) -> Result<(), HttpError> {
        let reason = match reason {
            Reason::Stop => "stop",
            Reason::Length => "length",
        };
        if self.stream {
            return self.finish_stream(conn, shell, reason).await;
        }
        let body = self.answer.full_json(
            &self.full_text,
            reason,
            self.prompt_tokens,
            self.token_count,
        );
        let mut response = Response::new(StatusCode::OK);
        response.body = body.map_err(|_| HttpError::Malformed)?.into();
        response
            .headers
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        send(conn, shell, &response, false).await
    }

    async fn finish_stream(
        &mut self,
        conn: &mut Conn,
        shell: &Shell,
        reason: &str,
    ) -> Result<(), HttpError> {
        self.start_stream(conn, shell).await?;
        let first = self.token_count == 0;
        let part = self
            .answer
            .chunk_json("", first, Some(reason))
            .map_err(|_| HttpError::Malformed)?;
        let mut chunk = b"data: ".to_vec();
        chunk.extend_from_slice(&part);
        chunk.extend_from_slice(b"\n\n");
        chunk.extend_from_slice(STREAM_END);
        conn.writer.chunk(&chunk).await?;
        shell.metrics().answer(StatusCode::OK.as_u16());
        conn.writer.finish().await
    }

    /// Reports a failure: as an error answer, or as the last event if the stream has already
    /// started.
    async fn fail(
        &mut self,
        conn: &mut Conn,
        shell: &Shell,
        failure: Failure,
    ) -> Result<(), HttpError> {
        if !self.is_started {
            return send(conn, shell, &answer::from_failure(failure), false).await;
        }
        shell.metrics().answer(failure.code.status());
        let body = serde_json::to_string(&ErrorBody::from(failure));
        let body = body.map_err(|_| HttpError::Malformed)?;
        conn.writer
            .chunk(format!("event: error\ndata: {body}\n\n").as_bytes())
            .await?;
        conn.writer.finish().await
    }

    async fn start_stream(&mut self, conn: &mut Conn, shell: &Shell) -> Result<(), HttpError> {
        if std::mem::replace(&mut self.is_started, true) {
            return Ok(());
        }
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        if shell.is_stopping() {
            headers.insert(CONNECTION, answer::CLOSE);
        }
        conn.writer.start(StatusCode::OK, &headers).await
    }
}

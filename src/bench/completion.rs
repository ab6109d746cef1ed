//! Completion requests: whole or streamed, resumed with `Last-Event-ID`, with answers checked.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use monoio::time::timeout;
use serde::Deserialize;
use serde::Serialize;

use super::entries::Entries;
use super::outcome::FailKind;
use super::outcome::RequestFailure;
use super::plain;
use super::scenario::Class;
use super::scenario::Completion;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::Request;
use crate::io::lines::Lines;
use crate::names::ServiceName;
use crate::standin::engine::generate_tokens;

const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const PATH: &str = "/v1/completions";
const DONE: &[u8] = b"[DONE]";

#[derive(Debug, Serialize)]
struct Body<'a> {
    model: &'a ServiceName,
    prompt: &'a [u32],
    max_tokens: usize,
    seed: u64,
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Part {
    choices: [Choice; 1],
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
}

/// The part of an answer received so far, over all attempts.
#[derive(Debug)]
pub(super) struct Stream {
    due: Instant,
    prompt: Vec<u32>,
    seed: u64,
    text: String,
    event: Option<HeaderValue>,
    last: Instant,
    /// The time from when the request was due to the first token; `None` before that.
    pub(super) first: Option<Duration>,
    /// The times between consecutive tokens.
    pub(super) gaps: Vec<Duration>,
}

/// Whether a stream continues after a line.
enum Step {
    More,
    Done,
}

impl Stream {
    pub(super) fn new(due: Instant, completion: &Completion, seed: u64) -> Self {
        /// Prompts consist of lower-case letters derived from the seed.
        const LETTERS: u64 = 26;
        let letter = |at: usize| u32::from(b'a') + ((seed >> (at % 48)) % LETTERS) as u32;
        Self {
            due,
            prompt: (0..completion.prompt).map(letter).collect(),
            seed,
            text: String::new(),
            event: None,
            last: due,
            first: None,
            gaps: Vec::new(),
        }
    }

    /// Returns the number of tokens received.
    pub(super) fn tokens(&self) -> usize {
        self.text.len()
    }

    /// Makes one attempt at `addr`; a stream resumes after the last received event. Calls `on_token`
    /// for each token.
    pub(super) async fn attempt<N>(
        &mut self,
        entries: &Entries,
        addr: SocketAddr,
        class: &Class,
        completion: &Completion,
        span: Millis,
        on_token: N,
    ) -> Result<(), RequestFailure>
    where
        N: Fn(),
    {
        let request = self.request(class, completion, span)?;
        if completion.stream {
            let work = self.stream(entries, addr, &request, on_token);
            let broken = Err(RequestFailure::unknown(FailKind::Broken));
            timeout(span.duration(), work).await.unwrap_or(broken)?;
        } else {
            let response = plain::attempt(entries, addr, &request, span).await?;
            let part: Part = response
                .parse()
                .map_err(|_| RequestFailure::unknown(FailKind::Malformed))?;
            let [choice] = part.choices;
            self.text = choice.text;
            (0..self.tokens()).for_each(|_| on_token());
        }
        self.check(completion)
    }

    fn request(
        &self,
        class: &Class,
        completion: &Completion,
        span: Millis,
    ) -> Result<Request, RequestFailure> {
        let body = Body {
            model: &completion.model,
            prompt: &self.prompt,
            max_tokens: completion.tokens,
            seed: self.seed,
            stream: completion.stream,
        };
        let bad = || RequestFailure::unknown(FailKind::Malformed);
        let mut request = plain::request(Method::POST, PATH, &class.token, span).ok_or_else(bad)?;
        request.body = serde_json::to_vec(&body).map_err(|_| bad())?.into();
        if let Some(event) = &self.event {
            request.headers.insert(LAST_EVENT_ID, event.clone());
        }
        Ok(request)
    }

    async fn stream<N>(
        &mut self,
        entries: &Entries,
        addr: SocketAddr,
        request: &Request,
        on_token: N,
    ) -> Result<(), RequestFailure>
    where
        N: Fn(),
    {
        let broken = |_| RequestFailure::unknown(FailKind::Broken);
        let mut conn = Conn::dial(addr)
            .await
            .map_err(|_| RequestFailure::unsent())?;
        conn.writer.request(request).await.map_err(broken)?;
        let head = conn.reader.response_head(false).await.map_err(broken)?;
        let mut lines = Lines::default();
        let mut whole = Vec::new();
        while let Some(part) = conn.reader.chunk().await.map_err(broken)? {
            if head.status != StatusCode::OK {
                whole.extend_from_slice(&part);
                continue;
            }
            lines.add(&part);
            for line in lines.by_ref() {
                if let Step::Done = self.line(&line, &on_token)? {
                    entries.pool.put(addr, conn);
                    return Ok(());
                }
            }
        }
        if head.status == StatusCode::OK {
            return Err(RequestFailure::unknown(FailKind::Broken));
        }
        Err(RequestFailure::parse(&whole))
    }

    fn line<N>(&mut self, line: &[u8], on_token: &N) -> Result<Step, RequestFailure>
    where
        N: Fn(),
    {
        if let Some(id) = line.strip_prefix(b"id: ") {
            self.event = HeaderValue::from_bytes(id).ok();
            return Ok(Step::More);
        }
        let Some(data) = line.strip_prefix(b"data: ") else {
            return Ok(Step::More);
        };
        if data == DONE {
            return Ok(Step::Done);
        }
        let Ok(part) = serde_json::from_slice::<Part>(data) else {
            return Err(RequestFailure::parse(data));
        };
        let [choice] = part.choices;
        if !choice.text.is_empty() {
            self.token(&choice.text);
            on_token();
        }
        Ok(Step::More)
    }

    fn token(&mut self, text: &str) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now - self.due);
        } else {
            self.gaps.push(now - self.last);
        }
        self.last = now;
        self.text.push_str(text);
    }

    fn check(&self, completion: &Completion) -> Result<(), RequestFailure> {
        let right = generate_tokens(
            self.seed,
            &self.prompt,
            completion.layers,
            completion.tokens,
        );
        let same = self.text.bytes().map(u32::from).eq(right);
        if same {
            Ok(())
        } else {
            Err(RequestFailure::unknown(FailKind::Wrong))
        }
    }
}

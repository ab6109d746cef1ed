//! HTTP requests of a calling team, and queries to the stand-ins.

use std::net::SocketAddr;

use bytes::BytesMut;
use http::HeaderValue;
use http::Method;
use http::header::AUTHORIZATION;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::TrialError;
use crate::api::ErrorBody;
use crate::clock::Millis;
use crate::error::Failure;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;

/// The timeout of an answer, and of each chunk of a streamed one.
const ANSWER_TIMEOUT: Millis = Millis::seconds(20);
/// The authorization header of the calling team, `web`.
pub(super) const WEB_TOKEN: HeaderValue = HeaderValue::from_static("Bearer token-of-web");
/// The data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// The body of a completion request.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Prompt {
    pub(super) model: &'static str,
    #[serde(rename = "prompt")]
    pub(super) text: &'static str,
    #[serde(rename = "max_tokens")]
    pub(super) limit: usize,
    pub(super) seed: u64,
    pub(super) stream: bool,
}

#[derive(Debug, Deserialize)]
struct Part {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
}

/// A completion that is streaming.
#[derive(Debug)]
pub(super) struct Tokens {
    conn: Conn,
    buf: BytesMut,
}

/// The next event of a stream.
#[derive(Debug)]
pub(super) enum Next {
    /// Text of one or more tokens.
    Text(String),
    /// The end of a complete answer.
    Done,
    /// An error event.
    Failed(Failure),
}

/// Sends a request on a new connection and waits for the whole answer.
pub(super) async fn call(addr: SocketAddr, request: &Request) -> Result<Response, TrialError> {
    let mut conn = Conn::dial(addr).await?;
    Ok(conn.call(request, ANSWER_TIMEOUT).await?)
}

/// Sends a GET request for a path.
pub(super) async fn get(addr: SocketAddr, path: &str) -> Result<Response, TrialError> {
    call(addr, &Request::new(Method::GET, path.parse()?)).await
}

/// Sends a GET request for a path and parses the JSON answer.
pub(super) async fn get_json<T>(addr: SocketAddr, path: &str) -> Result<T, TrialError>
where
    T: DeserializeOwned,
{
    Ok(get(addr, path).await?.parse()?)
}

/// Returns a request for a completion by the team `web`.
pub(super) fn completion(prompt: &Prompt) -> Result<Request, TrialError> {
    let mut request = Request::json(Method::POST, "/v1/completions".parse()?, prompt)?;
    request.headers.insert(AUTHORIZATION, WEB_TOKEN);
    Ok(request)
}

/// Returns the text of a whole completion.
pub(super) fn text(response: &Response) -> Result<String, TrialError> {
    let part: Part = response.parse()?;
    Ok(part.choices.into_iter().map(|choice| choice.text).collect())
}

/// Returns the failure in an error answer.
pub(super) fn failure(response: &Response) -> Result<Failure, TrialError> {
    let body: ErrorBody = response.parse()?;
    Ok(body.error)
}

impl Tokens {
    /// Sends a completion request and reads the response head.
    pub(super) async fn open(addr: SocketAddr, prompt: &Prompt) -> Result<Self, TrialError> {
        let mut conn = Conn::dial(addr).await?;
        conn.writer.request(&completion(prompt)?).await?;
        bounded(conn.reader.response_head(false)).await?;
        Ok(Self {
            conn,
            buf: BytesMut::new(),
        })
    }

    /// Returns the next event of the stream.
    pub(super) async fn next(&mut self) -> Result<Next, TrialError> {
        loop {
            if let Some(event) = self.event() {
                return read(&event);
            }
            match bounded(self.conn.reader.chunk()).await? {
                Some(bytes) => self.buf.extend_from_slice(&bytes),
                None => return Err(HttpError::Closed.into()),
            }
        }
    }

    /// Removes the next complete event from the buffer.
    fn event(&mut self) -> Option<String> {
        /// The delimiter between events.
        const END: &[u8] = b"\n\n";
        let at = self.buf.windows(END.len()).position(|two| two == END)?;
        let event = self.buf.split_to(at + END.len());
        Some(String::from_utf8_lossy(&event).into_owned())
    }
}

fn read(event: &str) -> Result<Next, TrialError> {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "));
    let data = data.ok_or(HttpError::Malformed)?;
    if data == DONE {
        return Ok(Next::Done);
    }
    if event.starts_with("event: error") {
        let body: ErrorBody = serde_json::from_str(data)?;
        return Ok(Next::Failed(body.error));
    }
    let part: Part = serde_json::from_str(data)?;
    Ok(Next::Text(
        part.choices.into_iter().map(|each| each.text).collect(),
    ))
}

async fn bounded<T, F>(work: F) -> Result<T, HttpError>
where
    F: Future<Output = Result<T, HttpError>>,
{
    monoio::time::timeout(ANSWER_TIMEOUT.duration(), work)
        .await
        .unwrap_or(Err(HttpError::TimedOut))
}

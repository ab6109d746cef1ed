//! Client for the routes of operators and owners (docs/PROTOCOLS.md).

mod command;
mod error;

use std::net::SocketAddr;

use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header::AUTHORIZATION;
use http::header::HOST;
use serde::Serialize;

pub use self::command::Approval;
pub use self::command::Drain;
pub use self::command::Rollout;
pub use self::error::ClientError;
use crate::api::ErrorBody;
use crate::clock::Millis;
use crate::core::config::plan::PlanId;
use crate::core::daemon::Reply;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;

/// How long to wait for an answer; longer than a daemon waits for the log.
const RESPONSE_TIMEOUT: Millis = Millis::seconds(15);
/// The common prefix of the routes of operators and owners.
const PATH_PREFIX: &str = "/v1/operate/";

/// Sends requests to the first of several daemons that accepts a connection.
#[derive(Clone, Debug)]
pub struct Client {
    addrs: Vec<SocketAddr>,
    token: String,
}

impl Client {
    /// Creates a client that tries `addrs` in order and authenticates with a bearer token.
    pub fn new(addrs: Vec<SocketAddr>, token: String) -> Self {
        Self { addrs, token }
    }

    /// Requests a plan of what an intent, in YAML, would change.
    ///
    /// # Errors
    ///
    /// Fails if no daemon answers, or if the daemon refuses the intent.
    pub async fn plan(&self, intent: String) -> Result<Reply, ClientError> {
        let mut request = Request::new(Method::POST, target("plans")?);
        request.body = intent.into();
        self.send(request).await
    }

    /// Confirms a plan; it is safe to repeat.
    ///
    /// # Errors
    ///
    /// Fails if the plan is refused, or if it is not known yet whether it was accepted.
    pub async fn confirm(&self, plan: &PlanId) -> Result<Reply, ClientError> {
        let uri = target(&format!("plans/{plan}/confirm"))?;
        self.send(Request::new(Method::POST, uri)).await
    }

    /// Sends a `GET` to a route such as `status`, `audit` or `objects`.
    ///
    /// # Errors
    ///
    /// Fails if no daemon answers, or if the token has no permission.
    pub async fn get(&self, route: &str) -> Result<Reply, ClientError> {
        self.send(Request::new(Method::GET, target(route)?)).await
    }

    /// Grants or revokes an owner's approval.
    ///
    /// # Errors
    ///
    /// Fails if the command is refused, or if it is not known yet whether it was accepted.
    pub async fn approve(&self, approval: &Approval) -> Result<Reply, ClientError> {
        self.post("approvals", approval).await
    }

    /// Starts or ends the drain of an endpoint.
    ///
    /// # Errors
    ///
    /// As [`Self::approve`].
    pub async fn drain(&self, drain: &Drain) -> Result<Reply, ClientError> {
        self.post("drains", drain).await
    }

    /// Runs, pauses or rolls back a rollout.
    ///
    /// # Errors
    ///
    /// As [`Self::approve`].
    pub async fn rollout(&self, rollout: &Rollout) -> Result<Reply, ClientError> {
        self.post("rollouts", rollout).await
    }

    async fn post<T>(&self, route: &str, body: &T) -> Result<Reply, ClientError>
    where
        T: Serialize,
    {
        let request = Request::json(Method::POST, target(route)?, body);
        self.send(request.map_err(ClientError::Malformed)?).await
    }

    async fn send(&self, mut request: Request) -> Result<Reply, ClientError> {
        request.headers.insert(AUTHORIZATION, self.authorization()?);
        let (mut conn, addr) = self.connect().await?;
        request.headers.insert(HOST, host_header(addr)?);
        let response = conn.call(&request, RESPONSE_TIMEOUT).await;
        parse_reply(&response.map_err(ClientError::Lost)?)
    }

    fn authorization(&self) -> Result<HeaderValue, ClientError> {
        let value = HeaderValue::try_from(format!("Bearer {}", self.token));
        value.map_err(|_| ClientError::InvalidToken)
    }

    /// Connects to the first address that accepts a connection.
    async fn connect(&self) -> Result<(Conn, SocketAddr), ClientError> {
        let mut last = HttpError::Closed;
        for addr in &self.addrs {
            match Conn::dial(*addr).await {
                Ok(conn) => return Ok((conn, *addr)),
                Err(error) => last = error,
            }
        }
        Err(ClientError::Unreachable(last))
    }
}

fn parse_reply(response: &Response) -> Result<Reply, ClientError> {
    if response.status.is_success() {
        return response.parse().map_err(ClientError::Malformed);
    }
    let body: ErrorBody = response.parse().map_err(ClientError::Malformed)?;
    Err(ClientError::Failed(body.error))
}

fn target(route: &str) -> Result<Uri, ClientError> {
    let uri = Uri::try_from(format!("{PATH_PREFIX}{route}"));
    uri.map_err(|_| ClientError::InvalidTarget)
}

fn host_header(addr: SocketAddr) -> Result<HeaderValue, ClientError> {
    HeaderValue::try_from(addr.to_string()).map_err(|_| ClientError::InvalidTarget)
}

//! The client for the platform's service.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::uri::InvalidUri;

use super::wire::Appended;
use super::wire::Page;
use super::wire::VmList;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::pool::Pool;

/// How long a call may take once its connection is open.
const CALL_TIMEOUT: Millis = Millis::seconds(2);

/// Why a call to the platform failed.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// The call has not taken effect and will not.
    #[display("refused")]
    Refused,
    /// The connection broke or timed out; the call may have taken effect.
    #[display("no answer: {_0}")]
    Lost(HttpError),
    /// The answer violates the protocol; the call may have taken effect.
    #[display("malformed answer")]
    Malformed,
}

/// The result of a read.
#[derive(Debug)]
pub enum Read {
    /// A page that starts at the requested offset.
    Page(Page),
    /// The requested offset has expired; the page starts at the oldest record that is left.
    Expired(Page),
}

/// A client for the platform's service at one address.
#[derive(Clone, Debug)]
pub struct Platform {
    addr: SocketAddr,
    pool: Pool,
}

impl Platform {
    /// Creates a client for the platform at `addr` that takes its connections from `pool`.
    pub fn new(addr: SocketAddr, pool: Pool) -> Self {
        Self { addr, pool }
    }

    /// Appends one record, which must be JSON, to a stream. Always uses a new connection; if it
    /// cannot be opened, the record was not appended.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] if the record was definitely not appended, and another
    /// error if it may have been.
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> Result<Appended, PlatformError> {
        let uri = uri(&format!("/v1/streams/{stream}")).map_err(|_| PlatformError::Refused)?;
        let mut request = Request::new(Method::POST, uri);
        request.body = record.into();
        let conn = Conn::dial(self.addr)
            .await
            .map_err(|_| PlatformError::Refused)?;
        let response = self.call(conn, &request).await?;
        match response.status {
            StatusCode::OK => response.parse().map_err(|_| PlatformError::Malformed),
            status if status.is_client_error() => Err(PlatformError::Refused),
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Refused),
            _ => Err(PlatformError::Malformed),
        }
    }

    /// Reads one page of a stream, from an offset.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or its answer violates the protocol.
    pub async fn read(&self, stream: &str, from: u64) -> Result<Read, PlatformError> {
        let uri = uri(&format!("/v1/streams/{stream}?from={from}"))
            .map_err(|_| PlatformError::Malformed)?;
        let response = self.get(uri).await?;
        let page = |response: &Response| response.parse().map_err(|_| PlatformError::Malformed);
        match response.status {
            StatusCode::OK => page(&response).map(Read::Page),
            StatusCode::GONE => page(&response).map(Read::Expired),
            _ => Err(PlatformError::Refused),
        }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or its answer violates the protocol.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        let response = self.get(Uri::from_static("/v1/vms")).await?;
        match response.status {
            StatusCode::OK => response.parse().map_err(|_| PlatformError::Malformed),
            _ => Err(PlatformError::Refused),
        }
    }

    async fn get(&self, uri: Uri) -> Result<Response, PlatformError> {
        let request = Request::new(Method::GET, uri);
        let conn = self
            .pool
            .get(self.addr)
            .await
            .map_err(PlatformError::Lost)?;
        self.call(conn, &request).await
    }

    async fn call(&self, mut conn: Conn, request: &Request) -> Result<Response, PlatformError> {
        match conn.call(request, CALL_TIMEOUT).await {
            Ok(response) => {
                self.pool.put(self.addr, conn);
                Ok(response)
            }
            Err(error) => {
                self.pool.clear(self.addr);
                Err(PlatformError::Lost(error))
            }
        }
    }
}

fn uri(target: &str) -> Result<Uri, InvalidUri> {
    target.parse()
}

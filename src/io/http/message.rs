//! Requests and responses, with their bodies in memory.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request method, such as `GET`.
    pub method: Method,
    /// The target, in origin form.
    pub uri: Uri,
    /// The headers, without those that frame the body.
    pub headers: HeaderMap,
    /// The body, decoded from its framing.
    pub body: Bytes,
}

impl Request {
    /// Creates a request without headers or body.
    pub fn new(method: Method, uri: Uri) -> Self {
        Self {
            method,
            uri,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a request with `body` as JSON.
    ///
    /// # Errors
    ///
    /// Fails if `body` cannot be serialized as JSON.
    pub fn json<T>(method: Method, uri: Uri, body: &T) -> Result<Self, serde_json::Error>
    where
        T: Serialize,
    {
        let mut request = Self::new(method, uri);
        request.body = serde_json::to_vec(body)?.into();
        request.headers.insert(CONTENT_TYPE, JSON);
        Ok(request)
    }

    /// Returns the first value of a header; `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        text(&self.headers, name)
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// A response. The body is complete, unless only the head was read or is to be sent.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without those that frame the body.
    pub headers: HeaderMap,
    /// The body, decoded from its framing.
    pub body: Bytes,
}

const JSON: HeaderValue = HeaderValue::from_static("application/json");

impl Response {
    /// Creates a response without headers or body.
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a response with `body` as JSON, or an empty one of status 500 if `body` cannot be
    /// serialized.
    pub fn json<T>(status: StatusCode, body: &T) -> Self
    where
        T: Serialize,
    {
        let Ok(bytes) = serde_json::to_vec(body) else {
            return Self::new(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let mut response = Self::new(status);
        response.body = bytes.into();
        response.headers.insert(CONTENT_TYPE, JSON);
        response
    }

    /// Creates a response with a body of plain text.
    pub fn text<T>(status: StatusCode, body: T) -> Self
    where
        T: Into<Bytes>,
    {
        let mut response = Self::new(status);
        response.body = body.into();
        response
            .headers
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        response
    }

    /// Returns the first value of a header; `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        text(&self.headers, name)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON or does not describe a `T`.
    pub fn parse<T>(&self) -> Result<T, serde_json::Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

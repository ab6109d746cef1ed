//! The routes of the HTTP server (docs/PROTOCOLS.md).

use http::Method;
use http::StatusCode;
use serde::Serialize;

use super::answer;
use super::model;
use super::operate;
use super::plain;
use super::send;
use crate::api::CompletionKind;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Failure;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::shell::Shell;
use crate::names::Domain;
use crate::names::Vm;

/// The body of the addresses route: the VMs that a caller should use.
#[derive(Debug, Serialize)]
struct Addresses {
    addresses: Vec<Address>,
    /// How long the caller may cache the answer, in milliseconds.
    #[serde(rename = "keep_ms")]
    keep: Millis,
}

#[derive(Debug, Serialize)]
struct Address {
    addr: std::net::SocketAddr,
    vm: Vm,
    domain: Domain,
}

/// Serves one request by the route of its path.
pub(super) async fn serve(
    conn: &mut Conn,
    shell: &Shell,
    request: Request,
) -> Result<(), HttpError> {
    let bodiless = request.method == Method::HEAD;
    let path = request.uri.path().to_owned();
    match path.as_str() {
        "/v1/completions" => {
            return model::serve(conn, shell, &request, CompletionKind::Text).await;
        }
        "/v1/chat/completions" => {
            return model::serve(conn, shell, &request, CompletionKind::Chat).await;
        }
        "/v1/models" => return model::list(conn, shell, &request).await,
        path if path.starts_with(plain::PREFIX) => return plain::serve(conn, shell, request).await,
        path if path.starts_with(operate::PREFIX) => {
            return operate::serve(conn, shell, request).await;
        }
        _ => {}
    }
    let response = match path.as_str() {
        "/healthz" => Response::text(StatusCode::OK, "ok\n"),
        "/readyz" => ready(shell),
        "/metrics" => Response::text(StatusCode::OK, shell.metrics().render()),
        "/v1/addresses" => addresses(shell),
        _ => answer::from_failure(Failure::not_run(Code::NotFound, "There is no such route.")),
    };
    send(conn, shell, &response, bodiless).await
}

fn ready(shell: &Shell) -> Response {
    match shell.query(|core, now| core.ready(now)) {
        Ok(()) => Response::text(StatusCode::OK, "ready\n"),
        Err(why) => answer::from_failure(Failure::not_run(Code::NotReady, why.to_string())),
    }
}

fn addresses(shell: &Shell) -> Response {
    let salt = rand::random();
    let found = shell.query(|core, now| core.addresses(now, salt));
    let address = |member: crate::core::member::message::Member| Address {
        addr: member.caller,
        vm: member.vm,
        domain: member.domain,
    };
    let body = Addresses {
        addresses: found.members.into_iter().map(address).collect(),
        keep: found.keep,
    };
    Response::json(StatusCode::OK, &body)
}

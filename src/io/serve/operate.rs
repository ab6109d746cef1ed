//! The routes of operators and owners.

use http::Method;
use http::StatusCode;
use serde::Deserialize;

use super::answer;
use super::digest;
use super::send;
use crate::core::config::intent::Intent;
use crate::core::config::object::Digest;
use crate::core::config::plan::PlanId;
use crate::core::config::rollout::Step;
use crate::core::daemon::Event;
use crate::core::daemon::OperatorCommand;
use crate::core::daemon::OperatorRequest;
use crate::error::Code;
use crate::error::Failure;
use crate::io::command::Command;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::shell::Shell;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Team;

/// The path prefix of the routes of operators and owners.
pub(super) const PREFIX: &str = "/v1/operate/";

/// The body of a request to approve a calling team or to revoke its approval.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Approval {
    team: Team,
    service: ServiceName,
    #[serde(default)]
    endpoint: Option<EndpointName>,
    on: bool,
}

/// The body of a request to drain an endpoint or to end its drain.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Drain {
    endpoint: EndpointName,
    on: bool,
}

/// The body of a request to run, pause or reverse a rollout.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rollout {
    service: ServiceName,
    step: Step,
}

/// Serves a request of an operator or an owner.
pub(super) async fn serve(
    conn: &mut Conn,
    shell: &Shell,
    request: Request,
) -> Result<(), HttpError> {
    let response = match parse_command(&request) {
        Ok(command) => run(shell, &request, command).await,
        Err(failure) => answer::from_failure(failure),
    };
    send(conn, shell, &response, request.method == Method::HEAD).await
}

async fn run(shell: &Shell, request: &Request, command: OperatorCommand) -> Response {
    let caller = shell.register_caller();
    let token = digest::token(request);
    shell.feed(Event::Operate(OperatorRequest {
        id: caller.id,
        token,
        command,
    }));
    match caller.next_command().await {
        Command::Reply(reply) => Response::json(StatusCode::OK, &reply),
        Command::Fail(failure) => answer::from_failure(failure),
        _ => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn parse_command(request: &Request) -> Result<OperatorCommand, Failure> {
    let path = request.uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let parts: Vec<&str> = path.split('/').collect();
    match (&request.method, parts.as_slice()) {
        (&Method::GET, ["status"]) => Ok(OperatorCommand::Status),
        (&Method::GET, ["audit"]) => Ok(OperatorCommand::Audit),
        (&Method::GET, ["objects"]) => Ok(OperatorCommand::Objects),
        (&Method::POST, ["plans"]) => parse_plan(request),
        (&Method::POST, ["plans", id, "confirm"]) => {
            Ok(OperatorCommand::Confirm(PlanId(Digest((*id).into()))))
        }
        (&Method::POST, ["approvals"]) => {
            let Approval {
                team,
                service,
                endpoint,
                on,
            } = parse_body(request)?;
            Ok(OperatorCommand::Approve {
                team,
                service,
                endpoint,
                on,
            })
        }
        (&Method::POST, ["drains"]) => {
            let Drain { endpoint, on } = parse_body(request)?;
            Ok(OperatorCommand::Drain { endpoint, on })
        }
        (&Method::POST, ["rollouts"]) => {
            let Rollout { service, step } = parse_body(request)?;
            Ok(OperatorCommand::Rollout { service, step })
        }
        _ => Err(Failure::not_run(Code::NotFound, "There is no such route.")),
    }
}

fn parse_plan(request: &Request) -> Result<OperatorCommand, Failure> {
    let text = std::str::from_utf8(&request.body)
        .map_err(|_| Failure::not_run(Code::InvalidIntent, "The intent is not UTF-8."))?;
    let intent = Intent::parse(text)
        .map_err(|error| Failure::not_run(Code::InvalidIntent, error.to_string()))?;
    Ok(OperatorCommand::Plan(Box::new(intent)))
}

fn parse_body<'a, T>(request: &'a Request) -> Result<T, Failure>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(&request.body)
        .map_err(|error| Failure::not_run(Code::BadRequest, error.to_string()))
}

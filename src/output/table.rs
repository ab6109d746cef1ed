//! Formats daemons' answers as tables and lines for people.

use tabled::Table;
use tabled::Tabled;
use tabled::settings::Style;

use crate::core::config::audit::Entry;
use crate::core::config::audit::Subject;
use crate::core::config::change::Change;
use crate::core::config::change::Object;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Priority;
use crate::core::config::object::Service;
use crate::core::config::object::ServiceKind;
use crate::core::config::object::TeamEntry;
use crate::core::config::plan::Plan;
use crate::core::daemon::EndpointStatus;
use crate::core::daemon::Reply;
use crate::core::daemon::Status;
use crate::names::Vm;

/// Formats a daemon's answer for people.
pub(super) fn format_reply(reply: &Reply) -> String {
    match reply {
        Reply::Plan(plan) => format_plan(plan),
        Reply::Verdict(verdict) => verdict.to_string(),
        Reply::Status(status) => format_status(status),
        Reply::Audit(entries) => format_rows(entries.iter().map(AuditRow::of)),
        Reply::Objects(objects) => format_rows(objects.iter().map(ObjectRow::of)),
    }
}

fn format_rows<T, I>(items: I) -> String
where
    T: Tabled,
    I: Iterator<Item = T>,
{
    Table::new(items).with(Style::blank()).to_string()
}

fn format_plan(plan: &Plan) -> String {
    let mut lines = Vec::new();
    lines.extend(plan.changes.iter().map(format_change));
    lines.push("effects:".to_owned());
    let effects = plan.effects.iter().map(|effect| format!("  {effect}"));
    lines.extend(effects);
    if !plan.changes.is_empty() {
        lines.push(format!("confirm with: cornelwharf confirm {}", plan.id));
    }
    lines.join("\n")
}

fn format_change(change: &Change) -> String {
    let verb = match (&change.before, &change.after) {
        (None, _) => "create",
        (Some(_), Some(_)) => "change",
        (Some(_), None) => "remove",
    };
    format!("{verb} {}", change.key)
}

fn format_status(status: &Status) -> String {
    let state = match (&status.refusing, status.stopping) {
        (Some(why), _) => format!("refusing: {why}"),
        (None, true) => "stopping".to_owned(),
        (None, false) => "serving".to_owned(),
    };
    let vms: Vec<&str> = status.vms.iter().map(Vm::as_str).collect();
    let lines = [
        format!("vm {} in {}: {state}", status.vm, status.domain),
        format!("configuration: offset {}", status.offset),
        format!("vms: {}", vms.join(" ")),
        format!("open requests: {}", status.open),
        format!("dropped answers: {}", status.dropped),
        format_rows(status.endpoints.iter().map(EndpointRow::of)),
    ];
    lines.join("\n")
}

#[derive(Tabled)]
struct EndpointRow<'a> {
    endpoint: &'a str,
    service: &'a str,
    owner: &'a str,
    state: &'static str,
    running: u32,
}

impl<'a> EndpointRow<'a> {
    fn of(status: &'a EndpointStatus) -> Self {
        let state = match (status.drained, status.usable) {
            (true, _) => "drained",
            (false, true) => "usable",
            (false, false) => "not usable",
        };
        Self {
            endpoint: status.name.as_str(),
            service: status.service.as_str(),
            owner: status.owner.as_str(),
            state,
            running: status.own,
        }
    }
}

#[derive(Tabled)]
struct AuditRow {
    offset: u64,
    /// Milliseconds since the Unix epoch.
    at: u64,
    who: String,
    what: String,
    outcome: String,
}

impl AuditRow {
    fn of(entry: &Entry) -> Self {
        Self {
            offset: entry.offset.0,
            at: entry.author.at.0,
            who: entry.author.who.to_string(),
            what: entry
                .subject
                .as_ref()
                .map_or_else(String::new, format_subject),
            outcome: entry.outcome.to_string(),
        }
    }
}

fn format_subject(subject: &Subject) -> String {
    match subject {
        Subject::Changes(changes) => {
            let changes: Vec<String> = changes.iter().map(format_change).collect();
            changes.join("\n")
        }
        Subject::Approval { key, after, .. } => {
            let verb = if after.is_some() { "approve" } else { "revoke" };
            format!("{verb} {} for {}", key.team, key.service)
        }
        Subject::Drain {
            endpoint, after, ..
        } => {
            let verb = if after.operator || after.owner {
                "drain"
            } else {
                "undrain"
            };
            format!("{verb} {endpoint}")
        }
        Subject::Rollout { service, step, .. } => format!("rollout of {service}: {step}"),
    }
}

#[derive(Tabled)]
struct ObjectRow {
    kind: &'static str,
    name: String,
    details: String,
}

impl ObjectRow {
    fn of(object: &Object) -> Self {
        let (kind, name, details) = match object {
            Object::Service(object) => ("service", object.name.to_string(), format_service(object)),
            Object::Endpoint(object) => {
                ("endpoint", object.name.to_string(), format_endpoint(object))
            }
            Object::Team(object) => ("team", object.name.to_string(), format_team(object)),
            Object::Grant(object) => ("grant", object.team.to_string(), object.service.to_string()),
            Object::Owner(object) => ("owner", object.name.to_string(), String::new()),
            Object::Operator(object) => ("operator", object.name.to_string(), String::new()),
        };
        Self {
            kind,
            name,
            details,
        }
    }
}

fn format_service(service: &Service) -> String {
    match &service.kind {
        ServiceKind::Model { layers, version } => format!("model of {layers} layers, {version}"),
        ServiceKind::Plain { idempotent } => format!("plain, idempotent: {}", idempotent.join(" ")),
    }
}

fn format_endpoint(endpoint: &Endpoint) -> String {
    let layers = endpoint
        .layers
        .map_or_else(String::new, |layers| format!(" layers {layers}"));
    let Endpoint {
        service,
        addr,
        domain,
        kind,
        slots,
        ..
    } = endpoint;
    format!("{service}{layers} at {addr} in {domain}, kind {kind}, slots {slots}")
}

fn format_team(team: &TeamEntry) -> String {
    let priority = match team.priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Batch => "batch",
    };
    format!("weight {}, {priority}", team.weight)
}

//! Shows a plan, its confirmation on another VM, and the owners' approvals.

use std::fmt::Write as _;
use std::io::Write;

use super::caller;
use super::error::TrialError;
use super::fleet::ADA;
use super::fleet::BEN;
use super::fleet::DAEMONS;
use super::fleet::Fleet;
use super::fleet::LAYERS;
use super::report::Report;
use super::stream;
use crate::client::Approval;
use crate::client::Client;
use crate::core::config::effect::Effect;
use crate::core::config::object::Digest;
use crate::core::config::plan::Plan;
use crate::core::config::publish::Verdict;
use crate::core::daemon::Reply;
use crate::error::Code;
use crate::error::Ran;

const OAK: &str = "token-of-oak";
const ELM: &str = "token-of-elm";

/// Shows how a configuration comes into force.
pub(super) async fn show<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    report.section("An operator plans on vm-1 and confirms on vm-2")?;
    let plan = plan(&fleet.client(0, ADA), intent(fleet)).await?;
    report.line(&format!(
        "the plan has {} changes, such as:",
        plan.changes.len()
    ))?;
    for change in plan.changes.iter().take(2) {
        report.line(&format!("  create {}", change.key))?;
    }
    for effect in plan.effects.iter().filter(|effect| is_shown(effect)) {
        report.line(&format!("  effect: {effect}"))?;
    }
    let before = fleet.status(2).await?.endpoints.len();
    report.check("A plan alone changes nothing", before == 0)?;
    let offset = accepted(&fleet.client(1, ADA).confirm(&plan.id).await?)?;
    report.line(&format!("accepted at offset {offset} of the log"))?;
    wait_in_force(fleet, offset).await?;
    report.check("The confirmed plan is in force on all three VMs", true)?;
    approve(fleet, report).await
}

async fn approve<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    report.section("Owners approve the team before it may call")?;
    let request = caller::completion(&stream::prompt(8))?;
    let failure = caller::failure(&caller::call(fleet.caller(0), &request).await?)?;
    report.line(&format!("before: {failure}"))?;
    let refused = failure.code == Code::Forbidden && failure.ran == Ran::No;
    report.check(
        "Without the owner's approval a call is refused unrun",
        refused,
    )?;
    let mut last = 0;
    for (token, service) in [(OAK, "chat"), (ELM, "ledger")] {
        let approval = Approval {
            team: "web".into(),
            service: service.into(),
            endpoint: None,
            on: true,
        };
        last = accepted(&fleet.client(0, token).approve(&approval).await?)?;
        report.line(&format!("the owner approves team web for {service}"))?;
    }
    wait_in_force(fleet, last).await
}

/// Creates a plan for an intent.
pub(super) async fn plan(client: &Client, intent: String) -> Result<Plan, TrialError> {
    match client.plan(intent).await? {
        Reply::Plan(plan) => Ok(*plan),
        _ => Err(TrialError::UnexpectedAnswer),
    }
}

/// Returns the offset at which a change was accepted.
pub(super) fn accepted(reply: &Reply) -> Result<u64, TrialError> {
    match reply {
        Reply::Verdict(Verdict::Accepted { offset }) => Ok(offset.0),
        _ => Err(TrialError::UnexpectedAnswer),
    }
}

/// Waits until every VM has applied the record at an offset.
pub(super) async fn wait_in_force(fleet: &Fleet, offset: u64) -> Result<(), TrialError> {
    fleet
        .wait_until("a change in force on all VMs", || async {
            for vm in 0..DAEMONS {
                if fleet.status(vm).await?.offset <= offset {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
}

fn is_shown(effect: &Effect) -> bool {
    matches!(effect, Effect::Capacity { .. } | Effect::Unapproved { .. })
}

/// Returns the YAML of the intent that creates all objects of the trial.
fn intent(fleet: &Fleet) -> String {
    let mut yaml = String::from("operators:\n");
    entry(&mut yaml, "ada", ADA);
    entry(&mut yaml, "ben", BEN);
    yaml.push_str("owners:\n");
    entry(&mut yaml, "oak", OAK);
    entry(&mut yaml, "elm", ELM);
    yaml.push_str("teams:\n");
    entry(&mut yaml, "web", "token-of-web");
    let _ = writeln!(
        yaml,
        "services:\n  - {{name: chat, kind: {{model: {{layers: {LAYERS}, version: v1}}}}}}\n  \
         - {{name: ledger, kind: {{plain: {{}}}}}}\ngrants:\n  \
         - {{team: web, service: chat}}\n  - {{team: web, service: ledger}}\nendpoints:"
    );
    for stage in fleet.stages() {
        let (name, addr) = (&stage.name, stage.addr);
        let (from, to) = (stage.layers.from, stage.layers.to);
        let _ = writeln!(
            yaml,
            "  - {{name: {name}, addr: '{addr}', domain: north, owner: oak, service: chat, \
             layers: {{from: {from}, to: {to}}}, slots: 16}}"
        );
    }
    for (index, addr) in fleet.ledgers().iter().enumerate() {
        let _ = writeln!(
            yaml,
            "  - {{name: ledger-{}, addr: '{addr}', domain: south, owner: elm, \
             service: ledger, slots: 16}}",
            index + 1
        );
    }
    yaml
}

fn entry(yaml: &mut String, name: &str, token: &str) {
    let digest = Digest::of(token);
    let _ = writeln!(yaml, "  - {{name: {name}, token: '{digest}'}}");
}

//! Shows two operators with conflicting plans.

use std::io::Write;

use super::configure;
use super::error::TrialError;
use super::fleet::ADA;
use super::fleet::BEN;
use super::fleet::Fleet;
use super::report::Report;
use crate::client::ClientError;
use crate::core::config::object::Digest;
use crate::core::daemon::Reply;
use crate::error::Code;

/// Shows that only the first of two conflicting plans is accepted; the second is refused as stale.
pub(super) async fn show<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    report.section("Two operators race about the same team")?;
    let first = configure::plan(&fleet.client(0, ADA), intent(2)).await?;
    let second = configure::plan(&fleet.client(1, BEN), intent(3)).await?;
    let offset = configure::accepted(&fleet.client(2, ADA).confirm(&first.id).await?)?;
    report.line(&format!("ada confirms on vm-3: accepted at {offset}"))?;
    let stale = match fleet.client(0, BEN).confirm(&second.id).await {
        Ok(_) => false,
        Err(ClientError::Failed(failure)) => {
            report.line(&format!("ben confirms on vm-1: {failure}"))?;
            failure.code == Code::StalePlan
        }
        Err(error) => return Err(error.into()),
    };
    report.check(
        "One operator is accepted, the other told: stale plan",
        stale,
    )?;
    audit(fleet, report).await
}

async fn audit<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    let Reply::Audit(entries) = fleet.client(0, ADA).get("audit").await? else {
        return Err(TrialError::UnexpectedAnswer);
    };
    for entry in &entries {
        let (offset, who) = (entry.offset.0, &entry.author.who);
        report.line(&format!("audit: {offset} {who}: {}", entry.outcome))?;
    }
    let refused = entries.iter().any(|entry| !entry.outcome.is_accepted());
    report.check(
        "The audit trail shows both, the refused one included",
        refused,
    )?;
    Ok(())
}

fn intent(weight: u32) -> String {
    let digest = Digest::of("token-of-web");
    format!("teams:\n  - {{name: web, token: '{digest}', weight: {weight}}}\n")
}

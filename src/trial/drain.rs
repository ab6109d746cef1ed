//! Shows the drain of an endpoint.

use std::io::Write;

use super::caller;
use super::configure;
use super::crash;
use super::error::TrialError;
use super::fleet::ADA;
use super::fleet::DAEMONS;
use super::fleet::Fleet;
use super::report::Report;
use super::stream;
use crate::client::Drain;

/// The endpoint that is drained.
const LEAVING: &str = "head-1";
/// The number of requests sent after the drain.
const CALLS: usize = 6;

/// Shows that a drained endpoint gets no new work from any VM.
pub(super) async fn show<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    report.section("An operator drains an endpoint")?;
    let drain = Drain {
        endpoint: LEAVING.into(),
        on: true,
    };
    let offset = configure::accepted(&fleet.client(0, ADA).drain(&drain).await?)?;
    configure::wait_in_force(fleet, offset).await?;
    report.line(&format!("{LEAVING} is told to leave, at offset {offset}"))?;
    let before = hops(fleet).await?;
    let mut prompt = stream::prompt(8);
    prompt.stream = false;
    let mut whole = 0;
    for call in 0..CALLS {
        let request = caller::completion(&prompt)?;
        let response = caller::call(fleet.caller(call % DAEMONS), &request).await?;
        let right =
            response.status.is_success() && caller::text(&response)? == stream::expected(&prompt);
        whole += usize::from(right);
    }
    let after = hops(fleet).await?;
    report.line(&format!(
        "{whole} of {CALLS} completions are whole, over all three VMs"
    ))?;
    report.line(&format!(
        "hops that {LEAVING} ran meanwhile: {}",
        after - before
    ))?;
    let held = whole == CALLS && before == after;
    report.check("A drained endpoint gets no new work from any VM", held)?;
    Ok(())
}

async fn hops(fleet: &Fleet) -> Result<u64, TrialError> {
    let stage = fleet.stages().iter().find(|each| each.name == LEAVING);
    let stage = stage.ok_or(TrialError::UnexpectedAnswer)?;
    Ok(crash::ledger(stage.addr).await?.hops)
}

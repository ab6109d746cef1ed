//! A daemon that stops while a stream runs through it.

use std::io::Write;

use super::caller;
use super::caller::Tokens;
use super::error::TrialError;
use super::fleet::Fleet;
use super::report::Report;
use super::stream;
use crate::core::daemon::Event;

/// The VM that stops.
const STOPPING: usize = 2;
/// The tokens that are given before it is told to.
const BEFORE: usize = 20;

/// Shows that a planned stop cuts nobody off.
pub(super) async fn show<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    let name = fleet.name(STOPPING);
    report.section(&format!("{name} stops while a stream runs through it"))?;
    let prompt = stream::prompt(stream::LONG_TOKENS);
    let mut tokens = Tokens::open(fleet.caller(STOPPING), &prompt).await?;
    report.part("   ")?;
    let mut text = stream::read_some(&mut tokens, BEFORE, report).await?;
    fleet.shell(STOPPING).feed(Event::Stop);
    report.part(&format!(" [{name} is told to stop] "))?;
    text.push_str(&stream::read_rest(&mut tokens, report).await?);
    report.check(
        "The stream through the stopping VM came to its end, whole",
        text == stream::expected(&prompt),
    )?;
    wait_unlisted(fleet).await?;
    report.check("Callers are no longer sent to it", true)?;
    fleet
        .wait_until("the stop", || async { Ok(fleet.shell(STOPPING).exits()) })
        .await?;
    report.check("It stopped by itself once nobody needed it", true)?;
    Ok(())
}

/// Waits until no other VM names the stopping one to callers.
async fn wait_unlisted(fleet: &Fleet) -> Result<(), TrialError> {
    let leaving = fleet.caller(STOPPING).to_string();
    fleet
        .wait_until("the departure from the addresses", || async {
            for vm in 0..STOPPING {
                let answer = caller::get(fleet.caller(vm), "/v1/addresses").await?;
                if String::from_utf8_lossy(&answer.body).contains(&leaving) {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
}

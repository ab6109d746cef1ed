//! Shows a planned stop of a daemon during a stream.

use std::io::Write;

use super::caller;
use super::caller::Tokens;
use super::error::TrialError;
use super::fleet::Fleet;
use super::report::Report;
use super::stream;
use crate::core::daemon::Event;

/// The index of the VM that stops. It has to be the last one.
const STOPPING: usize = 2;
/// The number of tokens received before the stop is requested.
const BEFORE: usize = 20;

/// Shows that a planned stop interrupts no request.
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
        .wait_until("the stop", || async {
            Ok(fleet.shell(STOPPING).should_exit())
        })
        .await?;
    report.check("It stopped by itself once nobody needed it", true)?;
    Ok(())
}

/// Waits until no other VM lists the stopping one in `/v1/addresses`.
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

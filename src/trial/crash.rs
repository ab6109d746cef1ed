//! Shows an engine crash in the middle of a stream.

use std::io::Write;
use std::net::SocketAddr;

use http::Method;

use super::caller;
use super::caller::Tokens;
use super::error::TrialError;
use super::fleet::Fleet;
use super::fleet::StageEngine;
use super::report::Report;
use super::stream;
use crate::io::http::Request;
use crate::standin::engine::Faults;
use crate::standin::engine::Ledger;

/// The number of tokens received before the crash.
const TOKENS_BEFORE: usize = 40;
/// The stage whose engine crashes.
const STAGE: &str = "body";

/// Shows that a stream completes without a lost or repeated token when an engine crashes.
pub(super) async fn show<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    report.section("An engine of the second stage crashes in mid-stream")?;
    let engines = fleet.stages().iter().filter(|each| each.stage == STAGE);
    let engines: Vec<&StageEngine> = engines.collect();
    let before = hops(&engines).await?;
    let prompt = stream::prompt(stream::LONG_TOKENS);
    let mut tokens = Tokens::open(fleet.caller(1), &prompt).await?;
    report.part("   ")?;
    let mut text = stream::read_some(&mut tokens, TOKENS_BEFORE, report).await?;
    let after = hops(&engines).await?;
    let grown = before.iter().zip(&after).position(|(old, new)| new > old);
    let index = grown.ok_or(TrialError::UnexpectedAnswer)?;
    let victim = engines[index];
    crash(victim.addr).await?;
    report.part(&format!(" [{} crashes] ", victim.name))?;
    text.push_str(&stream::read_rest(&mut tokens, report).await?);
    let whole = text == stream::expected(&prompt);
    report.check("The stream went on: no token lost, none given twice", whole)?;
    Ok(())
}

async fn hops(engines: &[&StageEngine]) -> Result<Vec<u64>, TrialError> {
    let mut counts = Vec::new();
    for engine in engines {
        counts.push(ledger(engine.addr).await?.hops);
    }
    Ok(counts)
}

/// Returns an engine's counters.
pub(super) async fn ledger(addr: SocketAddr) -> Result<Ledger, TrialError> {
    caller::get_json(addr, "/ledger").await
}

async fn crash(addr: SocketAddr) -> Result<(), TrialError> {
    let faults = Faults {
        crash: true,
        ..Faults::default()
    };
    let request = Request::json(Method::PUT, "/faults".parse()?, &faults)?;
    caller::call(addr, &request).await?;
    Ok(())
}

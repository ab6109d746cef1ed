//! The embedded trial: three daemons, engines, services and a platform in one process on loopback.
//!
//! It sends requests over HTTP, prints what happens, and checks each promise that it demonstrates
//! (README.md). The model engines, the plain service and the platform are the stand-ins of
//! [`crate::standin`].

mod caller;
mod configure;
mod crash;
mod credit;
mod drain;
mod error;
mod fleet;
mod port;
mod report;
mod stale;
mod stop;
mod stream;

use std::io::Write;

pub use self::error::TrialError;
use self::fleet::Fleet;
use self::report::Report;

/// Runs the trial, prints its report to `out`, and returns whether every check held.
///
/// # Errors
///
/// Fails if the trial cannot continue, for example because an address cannot be bound.
pub async fn run<W>(out: &mut W) -> Result<bool, TrialError>
where
    W: Write,
{
    let mut report = Report::new(out);
    let fleet = Fleet::start()?;
    fleet.introduce(&mut report)?;
    fleet.wait_ready().await?;
    configure::show(&fleet, &mut report).await?;
    stream::show(&fleet, &mut report).await?;
    crash::show(&fleet, &mut report).await?;
    credit::show(&fleet, &mut report).await?;
    drain::show(&fleet, &mut report).await?;
    stale::show(&fleet, &mut report).await?;
    stop::show(&fleet, &mut report).await?;
    Ok(report.summary()?)
}

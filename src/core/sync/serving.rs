//! Decides whether this daemon may take new work and new confirmations.
//!
//! The rule and the reasons for it are in docs/operators/membership.md.

use derive_more::Display;
use derive_more::Error;

use super::Sync;
use crate::clock::Millis;
use crate::consts::FRESHNESS_TIMEOUT;
use crate::core::member::Reach;

/// Why this daemon takes no new work or accepts no confirmation.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum NotServing {
    /// It has not read the log to its tail yet.
    #[display("starting: the configuration is not read to its end yet")]
    Starting,
    /// It knows of newer records that it could not fetch in time.
    #[display("behind: newer configuration exists that could not be fetched")]
    Behind,
    /// It recently reached neither the log nor a majority of the fleet.
    #[display("cut off: neither the log nor most of the fleet is in reach")]
    CutOff,
    /// The log, which a confirmation requires, can't be read.
    #[display("the log is not in reach")]
    LogDown,
}

impl Sync {
    /// Checks whether this daemon may take new work.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may not.
    pub fn may_serve(&self, now: Millis, reach: Reach) -> Result<(), NotServing> {
        if !self.is_complete {
            return Err(NotServing::Starting);
        }
        if self.is_fresh(now) {
            return Ok(());
        }
        if self.behind_span(now) >= FRESHNESS_TIMEOUT {
            return Err(NotServing::Behind);
        }
        match reach {
            Reach::Majority => Ok(()),
            Reach::Minority => Err(NotServing::CutOff),
        }
    }

    /// Checks whether this daemon may accept a confirmation: it must be in contact with a majority
    /// of the fleet, so that no daemon keeps serving without the record, and the log must answer.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may not.
    pub fn may_confirm(&self, now: Millis, reach: Reach) -> Result<(), NotServing> {
        self.may_serve(now, reach)?;
        if reach == Reach::Minority {
            return Err(NotServing::CutOff);
        }
        if !self.is_fresh(now) {
            return Err(NotServing::LogDown);
        }
        Ok(())
    }

    /// Returns whether this daemon's state was the log's tail within [`FRESHNESS_TIMEOUT`].
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        self.fresh
            .is_some_and(|at| now.since(at) <= FRESHNESS_TIMEOUT)
    }

    /// Returns for how long this daemon has known of newer records that it lacks.
    pub(super) fn behind_span(&self, now: Millis) -> Millis {
        let ahead = self.ahead.as_ref();
        ahead.map_or(Millis(0), |ahead| now.since(ahead.since))
    }
}

//! Whether this daemon may take new work and new confirmations.
//!
//! The rule and the reasons for it are in docs/operators/membership.md.

use derive_more::Display;
use derive_more::Error;

use super::Sync;
use crate::clock::Millis;
use crate::consts::FRESH_SPAN;
use crate::core::member::Reach;

/// Why this daemon takes no new work, or no confirmation.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum NotServing {
    /// It does not hold the state at the tail of the log yet.
    #[display("starting: the configuration is not read to its end yet")]
    Starting,
    /// It knows of records that it could not get.
    #[display("behind: newer configuration exists that could not be fetched")]
    Behind,
    /// It reached neither the log nor most of the fleet lately.
    #[display("cut off: neither the log nor most of the fleet is in reach")]
    CutOff,
    /// The log can't be read, which a confirmation needs.
    #[display("the log is not in reach")]
    LogDown,
}

impl Sync {
    /// Says whether this daemon may take new work.
    ///
    /// # Errors
    ///
    /// [`NotServing`] says why it may not.
    pub fn may_serve(&self, now: Millis, reach: Reach) -> Result<(), NotServing> {
        if !self.is_complete {
            return Err(NotServing::Starting);
        }
        if self.is_fresh(now) {
            return Ok(());
        }
        if self.behind_span(now) >= FRESH_SPAN {
            return Err(NotServing::Behind);
        }
        match reach {
            Reach::Majority => Ok(()),
            Reach::Minority => Err(NotServing::CutOff),
        }
    }

    /// Says whether this daemon may accept a confirmation: it is in contact with most of the
    /// fleet, so that no daemon goes on without the record, and the log answers.
    ///
    /// # Errors
    ///
    /// [`NotServing`] says why it may not.
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

    /// Says whether the state that this daemon holds was the log's tail a short time ago.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        self.fresh.is_some_and(|at| now.since(at) <= FRESH_SPAN)
    }

    /// Returns for how long newer records have been known to exist.
    pub(super) fn behind_span(&self, now: Millis) -> Millis {
        let ahead = self.ahead.as_ref();
        ahead.map_or(Millis(0), |ahead| now.since(ahead.since))
    }
}

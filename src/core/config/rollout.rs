//! Rollouts of model versions, with a bound on the share of endpoints out at a time.
//!
//! Each endpoint of a model has a pinned version, which it shall run whatever happens to it: an
//! endpoint that restarts gets its pin again, so a paused rollout does not leak. A confirmed
//! change of a model's version moves no pin. It opens a paused rollout, and only an operator's
//! [`Step`] and then the daemons' [`Advance`] records move pins.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::change::Offset;
use crate::core::config::content::Content;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Service;
use crate::core::config::object::ServiceKind;
use crate::core::config::outcome::Outcome;
use crate::names::EndpointName;
use crate::names::Operator;
use crate::names::ServiceName;
use crate::names::Version;
use crate::names::Vm;

/// The greatest share, in percent.
pub const MAX_SHARE_PERCENT: u8 = 100;

/// What an operator wants of a rollout.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Move on, with at most this share of the endpoints out at a time, in percent.
    #[display("run at {share}%")]
    Run {
        /// The share; one endpoint at least may always be out.
        share: u8,
    },
    /// Stop where it is.
    #[display("pause")]
    Pause,
    /// Go back to the version from before.
    #[display("go back")]
    Back,
}

/// An operator's step on a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// The model.
    pub service: ServiceName,
    /// The step.
    pub step: Step,
    /// Who wants it.
    pub by: Operator,
    /// When.
    pub at: Millis,
}

/// A daemon's report that endpoints came back, and its wish to take further ones out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advance {
    /// The model.
    pub service: ServiceName,
    /// The rollout that is meant, by its [`Rollout::id`].
    pub rollout: Offset,
    /// The endpoints that serve their pinned version again.
    pub done: Vec<EndpointName>,
    /// The endpoints to pin to the target next.
    pub next: Vec<EndpointName>,
    /// The VM that drives the rollout.
    pub by: Vm,
    /// When.
    pub at: Millis,
}

/// The phases of a rollout.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It moves towards the new version.
    Running,
    /// It stands still; endpoints that are out may come back.
    Paused,
    /// It moves back to the old version.
    Backing,
}

/// A rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Changes with every step of an operator, so that an advance meant for before it is refused.
    pub id: Offset,
    /// The version from before.
    pub from: Version,
    /// The version that is wanted.
    pub to: Version,
    /// The phase.
    pub phase: Phase,
    /// The share of the endpoints that may be out at a time, in percent.
    pub share: u8,
    /// The endpoints whose pin was moved and that do not serve it yet.
    pub out: BTreeSet<EndpointName>,
}

impl Rollout {
    /// Returns the version that pins are moved to, and that new endpoints start with.
    pub const fn target(&self) -> &Version {
        match self.phase {
            Phase::Running => &self.to,
            Phase::Paused | Phase::Backing => &self.from,
        }
    }

    /// Returns how many of `count` endpoints may be out at a time.
    pub fn max_out(&self, count: usize) -> usize {
        (count * usize::from(self.share) / usize::from(MAX_SHARE_PERCENT)).max(1)
    }
}

impl Content {
    /// Opens a paused rollout where a confirmed change gives a model another version.
    pub(super) fn open_rollout(&mut self, offset: Offset, before: &Service, after: &Service) {
        let (Some(old), Some(new)) = (model_version(before), model_version(after)) else {
            return;
        };
        if old == new {
            return;
        }
        let previous = self.rollouts.remove(&after.name);
        let from = previous.as_ref().map_or(old, Rollout::target).clone();
        let rollout = Rollout {
            id: offset,
            from,
            to: new.clone(),
            phase: Phase::Paused,
            share: 0,
            out: previous.map(|rollout| rollout.out).unwrap_or_default(),
        };
        self.rollouts.insert(after.name.clone(), rollout);
    }

    /// Pins a new endpoint of a model to the version that newcomers get.
    pub(super) fn pin(&mut self, endpoint: &Endpoint) {
        let service = self.services.get(&endpoint.service);
        let Some(wanted) = service.and_then(|entry| model_version(&entry.value)) else {
            self.pins.remove(&endpoint.name);
            return;
        };
        let rollout = self.rollouts.get(&endpoint.service);
        let pinned = rollout.map_or(wanted, Rollout::target).clone();
        self.pins.insert(endpoint.name.clone(), pinned);
    }

    /// Carries out an operator's step.
    pub(super) fn control_rollout(&mut self, offset: Offset, control: &Control) -> Outcome {
        if !self.is_operator(&control.by) {
            return Outcome::NotAllowed;
        }
        let Some(rollout) = self.rollouts.get_mut(&control.service) else {
            return Outcome::NotFound;
        };
        match control.step {
            Step::Run { share } if share > MAX_SHARE_PERCENT => return Outcome::Invalid,
            Step::Run { share } => {
                rollout.phase = Phase::Running;
                rollout.share = share;
            }
            Step::Pause => rollout.phase = Phase::Paused,
            Step::Back => rollout.phase = Phase::Backing,
        }
        rollout.id = offset;
        Outcome::Accepted
    }

    /// Takes endpoints that are done back in, and moves the pins of the next ones.
    pub(super) fn advance_rollout(
        &mut self,
        advance: &Advance,
        serving: &BTreeSet<EndpointName>,
    ) -> Outcome {
        let Some(rollout) = self.rollouts.get_mut(&advance.service) else {
            return Outcome::NotFound;
        };
        if rollout.id != advance.rollout {
            return Outcome::StaleRollout;
        }
        let mut out: BTreeSet<EndpointName> = rollout.out.intersection(serving).cloned().collect();
        for name in &advance.done {
            out.remove(name);
        }
        out.extend(advance.next.iter().cloned());
        if !out.is_subset(serving) {
            return Outcome::NotFound;
        }
        let moves = !advance.next.is_empty();
        let exceeds_bound =
            moves && (rollout.phase == Phase::Paused || out.len() > rollout.max_out(serving.len()));
        if exceeds_bound {
            return Outcome::RolloutBound;
        }
        rollout.out = out;
        let target = rollout.target().clone();
        for name in &advance.next {
            self.pins.insert(name.clone(), target.clone());
        }
        Outcome::Accepted
    }
}

/// Returns the version that a service wants, if it is a model.
const fn model_version(service: &Service) -> Option<&Version> {
    match &service.kind {
        ServiceKind::Model { version, .. } => Some(version),
        ServiceKind::Plain { .. } => None,
    }
}

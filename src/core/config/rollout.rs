//! Rollouts of model versions, with a limit on the share of endpoints that are updated at a time.
//!
//! Each endpoint of a model is pinned to a version, which it runs again after a restart, so a
//! restart never moves an endpoint to the new version while a rollout is paused. A confirmed change
//! of a model's version moves no pin. It opens a paused rollout; pins move only after an operator's
//! [`Step`], by the [`Advance`] records of the daemons.

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

/// The maximum share of [`Step::Run`], in percent.
pub const MAX_SHARE_PERCENT: u8 = 100;

/// A command of an operator to a rollout.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Run towards the new version.
    #[display("run at {share}%")]
    Run {
        /// The share of the endpoints that may be out at a time, in percent. At least one endpoint
        /// may always be out.
        share: u8,
    },
    /// Stop moving pins and leave them as they are.
    #[display("pause")]
    Pause,
    /// Return to the old version.
    #[display("go back")]
    Back,
}

/// The record of an operator's command to a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// The model that is rolled out.
    pub service: ServiceName,
    /// The command.
    pub step: Step,
    /// The operator who gave the command.
    pub by: Operator,
    /// The time of the command, by the clock of the VM that wrote the record.
    pub at: Millis,
}

/// The record by which a daemon reports updated endpoints and requests to update further ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advance {
    /// The model that is rolled out.
    pub service: ServiceName,
    /// The [`Rollout::id`] that the daemon saw. If it has changed, the record is refused.
    pub rollout: Offset,
    /// The endpoints that serve their pinned version again.
    pub done: Vec<EndpointName>,
    /// The endpoints to pin to the target version next.
    pub next: Vec<EndpointName>,
    /// The VM that drives the rollout.
    pub by: Vm,
    /// The time of the record, by the clock of that VM.
    pub at: Millis,
}

/// The direction in which a rollout moves pins.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Pins move to the new version.
    Running,
    /// No pins move. Endpoints that are out may finish their update.
    Paused,
    /// Pins move back to the old version.
    Backing,
}

/// The latest rollout of a model, from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The offset of the operator's last command, or of the change that opened the rollout. An
    /// [`Advance`] written before that record names another id and is refused.
    pub id: Offset,
    /// The old version.
    pub from: Version,
    /// The new version.
    pub to: Version,
    /// Whether and in which direction pins move.
    pub phase: Phase,
    /// The share of the endpoints that may be out at a time, in percent.
    pub share: u8,
    /// The endpoints that are out: their pin was moved, but they do not serve that version yet.
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

    /// Returns how many of `count` endpoints may be out at a time, which is at least 1.
    pub fn max_out(&self, count: usize) -> usize {
        (count * usize::from(self.share) / usize::from(MAX_SHARE_PERCENT)).max(1)
    }
}

impl Content {
    /// Opens a paused rollout if a confirmed change gives a model another version.
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

    /// Pins a new endpoint of a model to the current target version.
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

    /// Applies an operator's command.
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

    /// Removes updated endpoints from the set that is out, and moves the pins of the next ones.
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

/// Returns the configured version of a model; `None` for a plain service.
const fn model_version(service: &Service) -> Option<&Version> {
    match &service.kind {
        ServiceKind::Model { version, .. } => Some(version),
        ServiceKind::Plain { .. } => None,
    }
}

//! Applies configuration records to the state, and updates the router and the limiter from it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::config::change::Offset;
use crate::core::config::object::Endpoint;
use crate::core::config::object::ServiceKind;
use crate::core::config::publish;
use crate::core::config::record::Body;
use crate::core::config::record::Record;
use crate::core::sync;
use crate::core::sync::NotServing;
use crate::names::ServiceName;

use super::Core;
use super::action::Action;
use super::action::LogEvent;
use super::action::ReadId;

impl Core {
    /// Carries out the actions of the configuration sync.
    pub(super) fn apply_sync_actions(
        &mut self,
        now: Millis,
        actions: Vec<sync::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                sync::Action::Read { number, from } => {
                    out.push(Action::Read {
                        read: ReadId::Tail(number),
                        from,
                    });
                }
                sync::Action::Tell { vm, message } => self.send_peer(&vm, message, out),
                sync::Action::Deliver(record) => self.apply_record(now, &record, out),
                sync::Action::NeedSnapshot { first, peer } => {
                    self.need_snapshot(first, peer, out);
                }
                sync::Action::ServingChanged(verdict) => self.freshness_changed(now, verdict, out),
            }
        }
        self.members
            .set_progress(self.sync.offset(), self.sync.fresh());
    }

    fn freshness_changed(
        &mut self,
        now: Millis,
        verdict: Result<(), NotServing>,
        out: &mut Vec<Action>,
    ) {
        let event = match verdict {
            Ok(()) => LogEvent {
                event: "serving",
                subject: Arc::from(self.me.vm.as_str()),
            },
            Err(reason) => LogEvent {
                event: "not_serving",
                subject: reason.to_string().into(),
            },
        };
        out.push(Action::Log(event));
        let mut actions = Vec::new();
        self.members.set_serving(now, verdict.is_ok(), &mut actions);
        self.apply_member_actions(now, actions, out);
    }

    fn apply_record(&mut self, now: Millis, raw: &sync::message::Record, out: &mut Vec<Action>) {
        let offset = Offset(raw.offset);
        let record = Record::decode(raw.data.as_bytes());
        let outcome = match self.state.apply(offset, &record) {
            Ok(outcome) => outcome,
            Err(gap) => {
                let subject = gap.to_string().into();
                out.push(Action::Log(LogEvent {
                    event: "fold_gap",
                    subject,
                }));
                return;
            }
        };
        if let Body::Snapshot(part) = &record.body {
            self.snapshots.part_seen(now, part);
        } else {
            let subject = format!("{offset}: {outcome}").into();
            out.push(Action::Log(LogEvent {
                event: "folded",
                subject,
            }));
        }
        if matches!(record.body, Body::Confirm(_)) && outcome.is_accepted() {
            self.update_endpoints();
        }
        if let Body::Drain(drain) = &record.body
            && self.state.is_drained(&drain.endpoint)
        {
            self.move_sessions(now, &drain.endpoint, out);
        }
        let digest = record.digest();
        self.step_publisher(
            now,
            publish::Event::Folded {
                offset,
                digest,
                outcome,
            },
            out,
        );
    }

    /// Updates the router, the limiter and the shortlists with the configured endpoints.
    pub(super) fn update_endpoints(&mut self) {
        let mut endpoints: BTreeMap<&ServiceName, Vec<&Endpoint>> = BTreeMap::new();
        for endpoint in self.state.endpoints() {
            endpoints
                .entry(&endpoint.service)
                .or_default()
                .push(endpoint);
        }
        let services = self.state.services();
        for service in services {
            let list = endpoints.remove(&service.name).unwrap_or_default();
            let layers = match service.kind {
                ServiceKind::Model { layers, .. } => layers,
                ServiceKind::Plain { .. } => 0,
            };
            self.router.set_endpoints(&service.name, layers, &list);
            self.suspects.set_endpoints(&service.name, &list);
            self.limiter.set_slots(&service.name, slots(&list, layers));
        }
    }
}

/// Returns how many requests the endpoints can run at once. For a model, that is the number of
/// slots of the layer with the fewest slots.
fn slots(endpoints: &[&Endpoint], layers: u32) -> u32 {
    let held = |layer: u32| {
        let holds = |endpoint: &&&Endpoint| {
            endpoint
                .layers
                .is_some_and(|held| (held.from..held.to).contains(&layer))
        };
        endpoints
            .iter()
            .filter(holds)
            .map(|endpoint| endpoint.slots)
            .sum::<u32>()
    };
    (0..layers)
        .map(held)
        .min()
        .unwrap_or_else(|| endpoints.iter().map(|endpoint| endpoint.slots).sum())
}

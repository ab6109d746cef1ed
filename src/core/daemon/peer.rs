//! Messages between daemons, and the actions of membership.

use std::net::SocketAddr;

use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::snapshot::Part;
use crate::core::member;
use crate::core::member::ListedVm;
use crate::core::member::message::Member;
use crate::core::once;
use crate::core::poison;
use crate::core::sync;
use crate::core::sync::Peer;
use crate::names::Vm;

use super::Core;
use super::action::Action;
use super::action::LogEvent;
use super::hints::Hints;
use super::suspect::PermitAnswer;

/// A message between daemons.
#[derive(Clone, Debug)]
pub struct Message {
    /// The VM that sent the message.
    pub from: Vm,
    /// The content, which decides on the module that handles it.
    pub body: Body,
}

/// The content of a message; the variant's name is the JSON-RPC method.
#[derive(Clone, Debug, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "method", content = "params")]
pub enum Body {
    /// A message of the membership protocol.
    Member(member::message::Message),
    /// A message of the configuration sync.
    Sync(sync::message::Message),
    /// A message about claims of idempotency keys.
    Once(once::Message),
    /// The load of endpoints and the demand of teams.
    Hints(Hints),
    /// A part of a configuration snapshot.
    Part(Part),
    /// Gossip about suspects: requests that ran on an endpoint when it crashed.
    Suspects(poison::SuspectGossip),
    /// Gossip about parts of prompts that were present when an endpoint crashed.
    PromptParts(Vec<poison::PartRecord>),
    /// Asks the home VM of a suspect for a permit to run it.
    MayRun(poison::PermitRequest),
    /// The home VM's answer to a permit request.
    Granted(PermitAnswer),
    /// Returns a permit after the suspect's run.
    Done(poison::PermitReturn),
    /// Asks for a configuration snapshot.
    #[from(skip)]
    WantState,
}

impl Core {
    /// Sends a message to a live peer; does nothing if the VM isn't one.
    pub(super) fn send_peer<B>(&self, vm: &Vm, body: B, out: &mut Vec<Action>)
    where
        B: Into<Body>,
    {
        let Some(addr) = self.peers.get(vm) else {
            return;
        };
        self.send_peer_at(vm.clone(), *addr, body, out);
    }

    fn send_peer_at<B>(&self, vm: Vm, addr: SocketAddr, body: B, out: &mut Vec<Action>)
    where
        B: Into<Body>,
    {
        let message = Message {
            from: self.me.vm.clone(),
            body: body.into(),
        };
        out.push(Action::SendPeer {
            vm,
            addr,
            message: Box::new(message),
        });
    }

    /// Passes a message from another daemon to the module that handles it.
    pub(super) fn peer_message(&mut self, now: Millis, message: Message, out: &mut Vec<Action>) {
        let from = message.from;
        match message.body {
            Body::Member(message) => {
                let mut actions = Vec::new();
                self.members.receive(now, &message, &mut actions);
                self.apply_member_actions(now, actions, out);
            }
            Body::Sync(message) => {
                let mut actions = Vec::new();
                self.sync.receive(now, &from, message, &mut actions);
                self.apply_sync_actions(now, actions, out);
            }
            Body::Once(message) => {
                self.step_once(now, once::Event::Peer { vm: from, message }, out);
            }
            Body::Hints(hints) => self.apply_hints(now, &from, hints, out),
            Body::Part(part) => self.offer_part(now, &part, out),
            Body::Suspects(gossip) => self.suspects.table.merge(now, gossip),
            Body::PromptParts(records) => self.suspects.table.parts().merge(now, records),
            Body::MayRun(request) => self.answer_permit_request(now, request, out),
            Body::Granted(answer) => self.permit_answered(now, answer, out),
            Body::Done(returned) => self.suspects.table.accept_return(now, returned),
            Body::WantState => self.send_state(&from, out),
        }
    }

    /// Applies the platform's list of VMs.
    pub(super) fn vms_listed(&mut self, now: Millis, list: &[ListedVm], out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.members.apply_list(now, list, &mut actions);
        self.apply_member_actions(now, actions, out);
    }

    /// Carries out the actions of membership.
    pub(super) fn apply_member_actions(
        &mut self,
        now: Millis,
        actions: Vec<member::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                member::Action::Send { to, peer, message } => {
                    self.send_peer_at(to, peer, *message, out);
                }
                member::Action::Joined(member) => self.member_changed("vm_joined", &member.vm, out),
                member::Action::Suspected(member) => {
                    self.member_changed("vm_suspected", &member.vm, out);
                }
                member::Action::Gone(member) => {
                    self.limiter.forget_peer(&member.vm);
                    self.member_changed("vm_gone", &member.vm, out);
                }
                member::Action::Leaving(member) => {
                    self.member_changed("vm_leaving", &member.vm, out);
                    if member.vm == self.me.vm {
                        self.stop(now, out);
                    }
                }
                member::Action::PeerProgress { vm, at, progress } => {
                    let mut actions = Vec::new();
                    self.sync
                        .receive_progress(now, &vm, at, progress, &mut actions);
                    self.apply_sync_actions(now, actions, out);
                }
                member::Action::Resumed => self.sync.abandon_requests(),
            }
        }
    }

    fn member_changed(&mut self, event: &'static str, vm: &Vm, out: &mut Vec<Action>) {
        self.members_changed = true;
        out.push(Action::Log(LogEvent {
            event,
            subject: vm.as_str().into(),
        }));
    }

    /// Updates the other modules with the live VMs after a change of membership.
    pub(super) fn update_peers(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.members_changed) {
            return;
        }
        let live = self.members.live();
        self.peers = live
            .iter()
            .map(|member| (member.vm.clone(), member.peer))
            .collect();
        self.peers.remove(&self.me.vm);
        let peer = |member: &Member| Peer {
            vm: member.vm.clone(),
            domain: member.domain.clone(),
        };
        self.suspects.vms = live.iter().map(|member| member.vm.clone()).collect();
        let staying: Vec<Peer> = live.iter().map(peer).collect();
        self.sync.set_peers(&staying);
        self.router.set_peers(self.peers.len());
        self.limiter.set_peers(self.peers.len());
        let holders = live.iter().map(|member| once::Holder {
            vm: member.vm.clone(),
            boot: once::Boot(member.boot),
        });
        self.step_once(now, once::Event::Live(holders.collect()), out);
        for shard in 0..self.shards {
            let order = self.members.rank(&format!("once-{shard}"));
            let stream = once::StreamId(shard);
            self.step_once(now, once::Event::Homes { stream, order }, out);
        }
    }
}

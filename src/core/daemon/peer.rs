//! The messages between daemons.

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
use super::action::Note;
use super::hints::Hints;
use super::suspect::Granted;

/// A message and its sender.
#[derive(Clone, Debug)]
pub struct Message {
    /// The sender.
    pub from: Vm,
    /// The content.
    pub body: Body,
}

/// The content of a message; its name is the JSON-RPC method.
#[derive(Clone, Debug, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "method", content = "params")]
pub enum Body {
    /// Membership.
    Member(member::message::Message),
    /// Records of the configuration.
    Sync(sync::message::Message),
    /// Claims of keys.
    Once(once::Message),
    /// The load of endpoints and the demand of teams.
    Hints(Hints),
    /// A part of a snapshot of the configuration.
    Part(Part),
    /// Suspects: contents that ran where an endpoint crashed.
    Suspects(poison::SuspectGossip),
    /// The question whether a suspect may run.
    MayRun(poison::PermitRequest),
    /// The answer to it.
    Granted(Granted),
    /// The end of a suspect's run.
    Done(poison::PermitReturn),
    /// A request for a snapshot of the configuration.
    #[from(skip)]
    WantState,
}

impl Core {
    /// Sends a message to a VM whose address is known.
    pub(super) fn tell<B>(&self, vm: &Vm, body: B, out: &mut Vec<Action>)
    where
        B: Into<Body>,
    {
        let Some(addr) = self.peers.get(vm) else {
            return;
        };
        self.tell_at(vm.clone(), *addr, body, out);
    }

    fn tell_at<B>(&self, vm: Vm, addr: SocketAddr, body: B, out: &mut Vec<Action>)
    where
        B: Into<Body>,
    {
        let message = Message {
            from: self.me.vm.clone(),
            body: body.into(),
        };
        out.push(Action::Tell {
            vm,
            addr,
            message: Box::new(message),
        });
    }

    /// Takes in a message of another daemon.
    pub(super) fn peer(&mut self, now: Millis, message: Message, out: &mut Vec<Action>) {
        let from = message.from;
        match message.body {
            Body::Member(message) => {
                let mut actions = Vec::new();
                self.members.receive(now, &message, &mut actions);
                self.membership(now, actions, out);
            }
            Body::Sync(message) => {
                let mut actions = Vec::new();
                self.sync.receive(now, &from, message, &mut actions);
                self.synced(now, actions, out);
            }
            Body::Once(message) => {
                self.once(now, once::Event::Peer { vm: from, message }, out);
            }
            Body::Hints(hints) => self.hear(now, &from, hints, out),
            Body::Part(part) => self.offer_part(now, &part, out),
            Body::Suspects(note) => self.suspects.ledger.merge(now, note),
            Body::MayRun(ask) => self.may_run(now, ask, out),
            Body::Granted(granted) => self.granted(now, granted, out),
            Body::Done(done) => self.suspects.ledger.accept_return(now, done),
            Body::WantState => self.give_state(&from, out),
        }
    }

    /// Takes in the platform's list of VMs.
    pub(super) fn listed(&mut self, now: Millis, list: &[ListedVm], out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.members.apply_list(now, list, &mut actions);
        self.membership(now, actions, out);
    }

    /// Carries out what membership orders.
    pub(super) fn membership(
        &mut self,
        now: Millis,
        actions: Vec<member::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                member::Action::Send { to, peer, message } => {
                    self.tell_at(to, peer, *message, out);
                }
                member::Action::Joined(member) => self.moved("vm_joined", &member.vm, out),
                member::Action::Suspected(member) => self.moved("vm_suspected", &member.vm, out),
                member::Action::Gone(member) => {
                    self.gate.forget_peer(&member.vm);
                    self.moved("vm_gone", &member.vm, out);
                }
                member::Action::Leaving(member) => {
                    self.moved("vm_leaving", &member.vm, out);
                    if member.vm == self.me.vm {
                        self.stop(now, out);
                    }
                }
                member::Action::PeerProgress { vm, at, progress } => {
                    let mut actions = Vec::new();
                    self.sync
                        .receive_progress(now, &vm, at, progress, &mut actions);
                    self.synced(now, actions, out);
                }
                member::Action::Resumed => self.sync.abandon_requests(),
            }
        }
    }

    fn moved(&mut self, event: &'static str, vm: &Vm, out: &mut Vec<Action>) {
        self.changed = true;
        out.push(Action::Note(Note {
            event,
            subject: vm.as_str().into(),
        }));
    }

    /// Tells the other parts who is there, after a change.
    pub(super) fn regroup(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.changed) {
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
        self.gate.set_peers(self.peers.len());
        let holders = live.iter().map(|member| once::Holder {
            vm: member.vm.clone(),
            boot: once::Boot(member.boot),
        });
        self.once(now, once::Event::Live(holders.collect()), out);
        for shard in 0..self.shards {
            let order = self.members.rank(&format!("once-{shard}"));
            let stream = once::StreamId(shard);
            self.once(now, once::Event::Homes { stream, order }, out);
        }
    }
}

//! Handles messages of peers: updates the view, answers, and refutes wrong rumours.

use super::Action;
use super::Entry;
use super::Members;
use super::message::Body;
use super::message::Load;
use super::message::Member;
use super::message::Message;
use super::message::Rumour;
use super::message::Status;
use super::probe::Cause;
use super::probe::DIRECT_SPAN;
use super::probe::Probe;
use crate::clock::Millis;
use crate::names::Domain;
use crate::names::Vm;

/// The most rumours accepted from one message. A fleet of the size in docs/CAPACITY.md never
/// sends more.
const MAX_RECEIVED: usize = 4096;

impl Members {
    /// Handles a peer's message. Messages of an old boot or an incompatible release are dropped.
    pub fn receive(&mut self, now: Millis, message: &Message, actions: &mut Vec<Action>) {
        let sender = &message.from.member;
        let vm = sender.vm.clone();
        let boot = sender.boot;
        if !message.is_compatible() || vm == self.me.member.vm || self.is_outdated(sender) {
            return;
        }
        self.accept(now, message.from.clone(), actions);
        for rumour in message.rumours.iter().take(MAX_RECEIVED) {
            self.accept(now, rumour.clone(), actions);
        }
        for load in &message.loads {
            self.learn_load(load);
        }
        match &message.body {
            Body::Ping { n } => self.send(now, &vm, Body::Ack { n: *n }, actions),
            Body::Ack { n } => self.handle_ack(now, *n, boot, message, actions),
            Body::Probe { n, vm: target } => {
                let requester = vm.clone();
                let cause = Cause::OnBehalf {
                    requester,
                    number: *n,
                };
                self.ping(now, target, cause, actions);
            }
            Body::Vouch { n } => {
                self.probes.finish(*n);
            }
            Body::Hello => self.send_view(now, &vm, actions),
            Body::View { members } => self.learn_view(now, members, actions),
            Body::Gossip | Body::Unknown => {}
        }
    }

    fn is_outdated(&self, sender: &Member) -> bool {
        let known = self.table.get(&sender.vm);
        known.is_some_and(|entry| entry.rumour.member.boot > sender.boot)
    }

    fn handle_ack(
        &mut self,
        now: Millis,
        n: u64,
        boot: u64,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        let Some(probe) = self.take_answered(n, &message.from.member.vm) else {
            return;
        };
        if probe.boot != boot && probe.boot != 0 {
            return;
        }
        let at = probe.sent;
        self.learn_contacts(at, message);
        if let Cause::OnBehalf { requester, number } = probe.cause {
            self.send(now, &requester, Body::Vouch { n: number }, out);
        }
        if let Some(progress) = message.progress {
            let vm = message.from.member.vm.clone();
            out.push(Action::PeerProgress { vm, at, progress });
        }
    }

    fn take_answered(&mut self, n: u64, vm: &Vm) -> Option<Probe> {
        self.probes.get(n).filter(|probe| probe.target == *vm)?;
        self.probes.finish(n)
    }

    /// Records the peer's contacts. Ages are subtracted from the time of this daemon's ping, so
    /// that a late answer doesn't make them look fresher.
    fn learn_contacts(&mut self, at: Millis, message: &Message) {
        self.last_answer = self.last_answer.max(Some(at));
        if let Some(entry) = self.table.get_mut(&message.from.member.vm) {
            entry.heard = Some(at);
        }
        self.note_contact(message.from.member.domain.clone(), at);
        for contact in &message.contacts {
            self.note_contact(contact.domain.clone(), at - contact.age);
        }
    }

    fn note_contact(&mut self, domain: Domain, at: Millis) {
        let last = self.contacts.entry(domain).or_insert(at);
        *last = at.max(*last);
    }

    fn learn_load(&mut self, load: &Load) {
        let Some(entry) = self.table.get_mut(&load.vm) else {
            return;
        };
        if load.count <= entry.load.count {
            return;
        }
        entry.load = load.clone();
        self.candidates = None;
    }

    fn send_view(&mut self, now: Millis, to: &Vm, actions: &mut Vec<Action>) {
        let members = self
            .table
            .values()
            .filter(|entry| entry.rumour.member.boot > 0)
            .map(|entry| entry.rumour.clone())
            .collect();
        self.send(now, to, Body::View { members }, actions);
    }

    fn learn_view(&mut self, now: Millis, members: &[Rumour], actions: &mut Vec<Action>) {
        for rumour in members.iter().take(MAX_RECEIVED) {
            self.accept(now, rumour.clone(), actions);
        }
        self.refreshing = None;
    }

    /// Applies a rumour if it is newer than the known one.
    pub(super) fn accept(&mut self, now: Millis, rumour: Rumour, actions: &mut Vec<Action>) {
        if rumour.member.vm == self.me.member.vm {
            self.refute(now, &rumour, actions);
            return;
        }
        let known = self.table.get(&rumour.member.vm);
        if known.is_some_and(|entry| {
            !rumour.supersedes(&entry.rumour) || is_refuted(now, entry, &rumour)
        }) {
            return;
        }
        let booted = known.is_none_or(|entry| entry.rumour.member.boot != rumour.member.boot);
        if booted && let Some(other) = self.table.find_replaced(&rumour.member) {
            self.apply(now, mark_gone(other), actions);
        }
        self.apply(now, rumour, actions);
    }

    /// Refutes a wrong rumour about this daemon by raising its incarnation.
    fn refute(&mut self, now: Millis, rumour: &Rumour, actions: &mut Vec<Action>) {
        if rumour.member.boot > self.me.member.boot {
            self.leave(now, actions);
        }
        if rumour.member.boot != self.me.member.boot || !rumour.supersedes(&self.me) {
            return;
        }
        self.own_repeats = super::OWN_REPEATS;
        self.me.incarnation = rumour.incarnation + 1;
        self.gossip(now, actions);
    }

    fn apply(&mut self, now: Millis, rumour: Rumour, actions: &mut Vec<Action>) {
        let before = self.table.put(rumour.clone());
        let vm = rumour.member.vm.clone();
        self.candidates = None;
        if rumour.status == Status::Suspect {
            self.suspects.insert(vm, now);
        } else {
            self.suspects.remove(&vm);
        }
        let same =
            |old: &Rumour| old.status == rumour.status && old.member.boot == rumour.member.boot;
        if !before.as_ref().is_some_and(same) {
            push_change(before.as_ref(), rumour, actions);
        }
    }
}

fn push_change(before: Option<&Rumour>, rumour: Rumour, actions: &mut Vec<Action>) {
    let running =
        |old: &Rumour| old.status < Status::Suspect && old.member.boot == rumour.member.boot;
    match rumour.status {
        Status::Starting | Status::Serving => {
            if !before.is_some_and(running) {
                actions.push(Action::Joined(rumour.member));
            }
        }
        Status::Leaving => actions.push(Action::Leaving(rumour.member)),
        Status::Suspect => actions.push(Action::Suspected(rumour.member)),
        Status::Gone => actions.push(Action::Gone(rumour.member)),
    }
}

/// Returns whether the daemon answered this one directly so recently that a rumour of its failure
/// is wrong.
fn is_refuted(now: Millis, entry: &Entry, rumour: &Rumour) -> bool {
    let same = entry.rumour.member.boot == rumour.member.boot;
    let heard = entry.heard.is_some_and(|at| now.since(at) <= DIRECT_SPAN);
    same && heard && rumour.status >= Status::Suspect
}

fn mark_gone(rumour: Rumour) -> Rumour {
    Rumour {
        status: Status::Gone,
        ..rumour
    }
}

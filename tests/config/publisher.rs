//! Tests of the publisher: each verdict is derived from the log or is `NotKnown`.

use cornelwharf::clock::Millis;
use cornelwharf::core::config::change::Offset;
use cornelwharf::core::config::outcome::Outcome;
use cornelwharf::core::config::publish::Action;
use cornelwharf::core::config::publish::Event;
use cornelwharf::core::config::publish::Publisher;
use cornelwharf::core::config::publish::RETRY_DELAY;
use cornelwharf::core::config::publish::SUBMIT_TIMEOUT;
use cornelwharf::core::config::publish::Ticket;
use cornelwharf::core::config::publish::Verdict;
use cornelwharf::core::config::record::Body;
use cornelwharf::core::config::record::Consent;
use cornelwharf::core::config::record::MAX_RECORD_LAG;
use cornelwharf::core::config::record::Record;

use crate::log::Log;

const T: Ticket = Ticket(1);

/// A publisher with a log, and a clock that the test advances.
struct Harness {
    log: Log,
    publisher: Publisher,
    now: Millis,
    record: Record,
}

impl Harness {
    /// Creates a harness and submits an approval of `team`.
    fn new(team: &str) -> Self {
        let log = Log::base();
        let approve = Body::Approve(Consent {
            owner: "oak".into(),
            team: team.into(),
            service: "chat".into(),
            endpoint: None,
            at: Millis(0),
        });
        let record = Record::new(log.state.next(), approve);
        let mut h = Self {
            publisher: Publisher::new(log.state.next()),
            log,
            now: Millis(0),
            record: record.clone(),
        };
        let append = h.append();
        assert_eq!(h.step(Event::Submit { ticket: T, record }), append);
        h
    }

    fn append(&self) -> Vec<Action> {
        vec![Action::Append {
            ticket: T,
            record: self.record.clone(),
        }]
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.publisher.step(self.now, event, &mut actions);
        actions
    }

    /// Appends a record to the log and reports its fold to the publisher.
    fn fold(&mut self, record: &Record) -> Vec<Action> {
        let offset = self.log.state.next();
        let outcome = self.log.push(record);
        self.step(Event::Folded {
            offset,
            digest: record.digest(),
            outcome,
        })
    }

    fn fold_own(&mut self) -> Vec<Action> {
        let record = self.record.clone();
        self.fold(&record)
    }

    fn lose(&mut self) {
        let read = Action::ReadBack {
            ticket: T,
            from: self.record.seen,
        };
        assert_eq!(self.step(Event::AppendLost { ticket: T }), [read]);
    }
}

fn settled(verdict: Verdict) -> [Action; 1] {
    [Action::Settled { ticket: T, verdict }]
}

fn accepted(offset: u64) -> [Action; 1] {
    let offset = Offset(offset);
    settled(Verdict::Accepted { offset })
}

#[test]
fn accepted_means_appended_and_folded() {
    let mut h = Harness::new("web");
    let offset = Offset(2);
    assert_eq!(h.step(Event::Appended { ticket: T, offset }), []);
    assert_eq!(h.fold_own(), accepted(2));
    assert!(h.publisher.is_empty());
}

#[test]
fn the_fold_may_be_reported_before_the_append_is_confirmed() {
    let mut h = Harness::new("web");
    assert_eq!(h.fold_own(), accepted(2));
    let offset = Offset(2);
    assert_eq!(h.step(Event::Appended { ticket: T, offset }), []);
}

#[test]
fn a_record_without_effect_is_refused() {
    let mut h = Harness::new("mail");
    let outcome = Outcome::NotFound;
    assert_eq!(h.fold_own(), settled(Verdict::Refused { outcome }));
}

#[test]
fn a_refused_append_is_not_appended() {
    let mut h = Harness::new("web");
    let actions = h.step(Event::AppendRefused { ticket: T });
    assert_eq!(actions, settled(Verdict::NotAppended));
}

#[test]
fn a_record_whose_append_answer_was_lost_is_found_in_the_log() {
    let mut h = Harness::new("web");
    h.lose();
    assert_eq!(h.fold_own(), accepted(2));
}

#[test]
fn a_lost_append_is_sent_again_and_copies_are_harmless() {
    let mut h = Harness::new("web");
    h.lose();
    assert_eq!(h.step(Event::TailRead { ticket: T }), []);
    h.now += RETRY_DELAY;
    assert_eq!(h.step(Event::Tick), h.append());
    assert_eq!(h.fold_own(), accepted(2));
    h.log.revoke("oak", None);
    assert_eq!(h.fold_own(), []);
    assert_eq!(h.log.admitted("web", "chat"), "");
}

#[test]
fn while_the_log_is_unavailable_the_verdict_is_not_known() {
    let mut h = Harness::new("web");
    h.lose();
    h.step(Event::TailRead { ticket: T });
    h.now += RETRY_DELAY;
    h.step(Event::Tick);
    assert_eq!(h.step(Event::AppendRefused { ticket: T }), []);
    h.now = SUBMIT_TIMEOUT;
    assert_eq!(h.step(Event::Tick), settled(Verdict::NotKnown));
}

#[test]
fn a_record_covered_by_a_snapshot_gets_its_verdict_from_a_copy() {
    let mut h = Harness::new("web");
    h.log.push(&h.record);
    let next = h.log.state.next();
    h.step(Event::Jumped { next });
    let offset = Offset(2);
    h.step(Event::Appended { ticket: T, offset });
    assert_eq!(h.step(Event::Tick), h.append());
    assert_eq!(h.fold_own(), accepted(2));
}

#[test]
fn after_the_maximum_lag_an_absent_record_is_late() {
    let folded = |offset: u64| Event::Folded {
        offset: Offset(offset),
        digest: cornelwharf::core::config::object::Digest::of("other"),
        outcome: Outcome::Accepted,
    };
    let mut h = Harness::new("web");
    h.lose();
    assert_eq!(h.step(folded(2 + MAX_RECORD_LAG)), []);
    let outcome = Outcome::Late;
    let late = settled(Verdict::Refused { outcome });
    assert_eq!(h.step(folded(3 + MAX_RECORD_LAG)), late);

    let mut missed = Harness::new("web");
    missed.lose();
    missed.step(Event::Jumped { next: Offset(9) });
    let unknown = settled(Verdict::NotKnown);
    assert_eq!(missed.step(folded(3 + MAX_RECORD_LAG)), unknown);
}

//! The roster with entries that are outdated, lapse and reappear, and the health of endpoints.

use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::position::Position;
use cornelwharf::core::roster::Change;
use cornelwharf::core::roster::Entry;
use cornelwharf::core::roster::Health;
use cornelwharf::core::roster::LAPSE_GRACE;
use cornelwharf::core::roster::MAX_PAUSE;
use cornelwharf::core::roster::PauseError;
use cornelwharf::core::roster::Roster;
use cornelwharf::core::roster::parse_pause;
use cornelwharf::names::ServiceName;

const NOW: Millis = Millis::seconds(100);

fn entry(name: &str, born: u64) -> Entry {
    Entry {
        endpoint: name.into(),
        born,
        service: "ledger".into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "north".into(),
        leaving: false,
        slots: 6,
        kind: None,
        span: Some(Span { from: 0, to: 4 }),
    }
}

fn change(offset: u64, entry: Entry) -> Change {
    Change {
        endpoint: entry.endpoint.clone(),
        offset: Position::from(offset),
        entry: Some(entry),
    }
}

fn removal(offset: u64, name: &str) -> Change {
    Change {
        endpoint: name.into(),
        offset: Position::from(offset),
        entry: None,
    }
}

fn serving(roster: &Roster, now: Millis) -> Vec<String> {
    let service = ServiceName::from("ledger");
    let list = roster.serving(&service, now);
    list.map(|(entry, _, _)| entry.endpoint.to_string())
        .collect()
}

#[test]
fn an_older_entry_never_replaces_a_newer_one() {
    let mut roster = Roster::default();
    let mut leaving = entry("a", 1);
    leaving.leaving = true;
    assert!(roster.apply(NOW, change(7, leaving)));
    assert!(!roster.apply(NOW, change(6, entry("a", 1))));
    assert!(serving(&roster, NOW).is_empty());
}

/// A refused entry was logged at each heartbeat of its writer.
#[test]
fn an_entry_that_is_refused_again_and_again_is_reported_once() {
    let mut roster = Roster::default();
    let name = "a".into();
    let news: Vec<bool> = (0..3).map(|_| roster.refuse_entry(&name)).collect();
    assert_eq!(news, [true, false, false]);
    roster.accept_entry(&name);
    assert!(roster.refuse_entry(&name), "after a good one");
}

#[test]
fn leaving_or_removed_endpoint_gets_no_new_work() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.apply(NOW, change(2, entry("b", 1)));
    let mut leaving = entry("a", 1);
    leaving.leaving = true;
    roster.apply(NOW, change(3, leaving));
    roster.apply(NOW, removal(4, "b"));
    assert!(serving(&roster, NOW).is_empty());
}

#[test]
fn lapsed_entry_is_used_until_the_grace_period_ends() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.record_store_return(NOW);
    roster.apply(NOW, removal(2, "a"));
    assert_eq!(serving(&roster, NOW), ["a"]);
    assert!(serving(&roster, NOW + LAPSE_GRACE).is_empty());
}

#[test]
fn what_lapsed_gets_work_only_where_no_other_can_and_after_a_failure_none() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.record_store_return(NOW);
    roster.apply(NOW, removal(2, "a"));
    let health = roster.health(&"a".into()).expect("known");
    assert!(health.penalty() >= 10.0);
    health.record_failure(NOW);
    assert!(health.is_avoided(NOW + LAPSE_GRACE));
    roster.apply(NOW, change(3, entry("a", 1)));
    let health = roster.health(&"a".into()).expect("known");
    assert!(!health.is_avoided(NOW) && health.penalty() <= 1.0);
}

#[test]
fn restarted_endpoint_keeps_neither_health_nor_load() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.begin_request(&"a".into(), 100.0);
    roster.health(&"a".into()).expect("known").record_stall(NOW);
    roster.apply(NOW, change(2, entry("a", 2)));
    let service = ServiceName::from("ledger");
    let (_, health, work) = roster.serving(&service, NOW).next().expect("serving");
    assert!(!health.is_avoided(NOW));
    assert_eq!(work.running, 0);
}

#[test]
fn changed_entry_keeps_the_health_of_the_endpoint() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.health(&"a".into()).expect("known").record_stall(NOW);
    let mut other = entry("a", 1);
    other.span = None;
    roster.apply(NOW, change(2, other));
    let service = ServiceName::from("ledger");
    let (_, health, _) = roster.serving(&service, NOW).next().expect("serving");
    assert!(health.is_avoided(NOW));
}

#[test]
fn endpoints_missing_from_a_full_list_are_removed() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.apply(NOW, change(2, entry("b", 1)));
    for gone in roster.removals(&["b".into()], Position::from(3)) {
        roster.apply(NOW, gone);
    }
    assert_eq!(serving(&roster, NOW), ["b"]);
}

/// Brings `to` up to date with the changes that `from` knows and `to` lacks.
fn send_update(from: &Roster, to: &mut Roster) {
    let update = from.changes_since(to.end());
    let end = update.end;
    for change in to.expand(update) {
        to.apply(NOW, change);
    }
    to.advance(end);
}

#[test]
fn update_removes_endpoints_of_a_peer() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.apply(NOW, removal(2, "a"));
    roster.advance(Position::from(3));
    let mut peer = Roster::default();
    peer.apply(NOW, change(1, entry("a", 1)));
    peer.advance(Position::from(2));
    send_update(&roster, &mut peer);
    assert!(serving(&peer, NOW).is_empty());
}

#[test]
fn update_after_a_full_list_still_removes_endpoints() {
    let mut fresh = Roster::default();
    fresh.apply(NOW, change(2, entry("b", 1)));
    fresh.record_full_list(Position::from(4));
    fresh.advance(Position::from(4));
    let mut peer = Roster::default();
    peer.apply(NOW, change(1, entry("a", 1)));
    peer.apply(NOW, change(2, entry("b", 1)));
    peer.advance(Position::from(3));
    send_update(&fresh, &mut peer);
    assert_eq!(serving(&peer, NOW), ["b"]);
}

#[test]
fn update_is_a_full_list_after_a_removal_was_dropped() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    roster.apply(NOW, change(2, entry("b", 1)));
    roster.apply(NOW, removal(3, "a"));
    roster.advance(Position::from(4));
    roster.sweep(NOW + Millis::seconds(600));
    let mut peer = Roster::default();
    peer.apply(NOW, change(1, entry("a", 1)));
    peer.apply(NOW, change(2, entry("b", 1)));
    peer.advance(Position::from(3));
    send_update(&roster, &mut peer);
    assert_eq!(serving(&peer, NOW), ["b"]);
}

#[test]
fn stalled_endpoint_is_avoided_until_a_probe_is_answered() {
    let mut health = Health::default();
    health.record_stall(NOW);
    assert!(health.is_avoided(NOW + Millis::seconds(60)));
    health.record_liveness();
    assert!(!health.is_avoided(NOW + Millis::seconds(60)));
    assert!(health.penalty() > 1.0);
    health.record_success();
    assert!(health.penalty() <= 1.0);
}

#[test]
fn forwarded_mark_expires_with_the_original() {
    let mut one = Roster::default();
    let mut two = Roster::default();
    let mut three = Roster::default();
    for roster in [&mut one, &mut two, &mut three] {
        roster.apply(NOW, change(1, entry("a", 1)));
    }
    assert!(one.mark(NOW, &"a".into(), Some(8.0)));
    let later = NOW + Millis(600);
    for mark in one.marks(later) {
        assert!(two.apply_mark(later, &mark));
    }
    for mark in two.marks(later) {
        assert!(three.apply_mark(later, &mark));
        assert!(!three.apply_mark(later, &mark));
    }
    assert_eq!(three.marks(later).len(), 1);
    assert!(three.marks(NOW + Millis(1500)).is_empty());
}

#[test]
fn each_further_failure_doubles_the_backoff_up_to_a_bound() {
    let mut health = Health::default();
    let mut now = NOW;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        health.record_failure(now);
        let mut until = now;
        while health.is_avoided(until) {
            until += Millis(100);
        }
        backoffs.push(until.since(now).0);
        now = until;
    }
    assert!(
        backoffs.windows(2).all(|pair| pair[0] <= pair[1]),
        "{backoffs:?}"
    );
    assert!(backoffs[7] <= 8000, "{backoffs:?}");
}

#[test]
fn only_silent_engines_are_probed_unless_the_path_is_slow() {
    let mut roster = Roster::default();
    for (offset, name) in ["a", "b", "c"].into_iter().enumerate() {
        roster.apply(NOW, change(offset as u64, entry(name, 1)));
    }
    let quiet = NOW + Millis(1000);
    roster.record_liveness(quiet + Millis(20), &"a".into());
    let now = quiet + Millis(80);
    let mut probed = |now, slow| {
        let names = ["a", "b", "c"];
        let asked = names.map(|name| roster.begin_probe(now, &name.into(), quiet, slow));
        asked.map(u8::from)
    };
    assert_eq!(probed(now, false), [0, 1, 1]);
    assert_eq!(
        probed(now + Millis(40), false),
        [0, 0, 0],
        "probed just now"
    );
    assert_eq!(probed(now + Millis(400), true), [1, 1, 1], "for its pace");
}

#[test]
fn engine_is_down_only_by_own_evidence_and_until_it_responds() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    let name = "a".into();
    assert!(roster.mark(NOW, &name, None));
    assert!(!roster.is_down(&name), "a mark alone does not stop paths");
    let health = roster.health(&name).expect("it is known");
    health.record_stall(NOW);
    assert!(roster.is_down(&name));
    roster.record_liveness(NOW + Millis(10), &name);
    assert!(!roster.is_down(&name));
}

#[test]
fn error_rate_raises_the_penalty_and_decays() {
    let mut usual = Health::default();
    let mut failing = Health::default();
    for index in 0..60 {
        usual.record_answer(index % 7 == 0);
        failing.record_answer(true);
    }
    assert!(usual.penalty() < 2.0, "{}", usual.penalty());
    assert!(failing.penalty() > 8.0 * usual.penalty());
    for _ in 0..30 {
        failing.record_answer(false);
    }
    assert!(failing.penalty() < 1.1, "{}", failing.penalty());
}

#[test]
fn rewritten_entry_without_a_difference_is_not_sent() {
    let mut reader = Roster::default();
    assert!(reader.apply(NOW, change(1, entry("a", 1))));
    reader.advance(Position::from(2));
    let mut other = Roster::default();
    send_update(&reader, &mut other);
    for beat in 2..50 {
        assert!(!reader.apply(NOW, change(beat, entry("a", 1))));
    }
    assert!(reader.changes_since(other.end()).changes.is_empty());
    assert!(
        !reader.apply(NOW, removal(30, "a")),
        "older than what is known"
    );
    assert!(reader.apply(NOW, removal(50, "a")));
    reader.advance(Position::from(51));
    assert_eq!(reader.changes_since(other.end()).changes.len(), 1);
    send_update(&reader, &mut other);
    assert!(serving(&other, NOW).is_empty());
    assert!(reader.apply(NOW, change(60, entry("a", 1))), "it is back");
}

#[test]
fn an_endpoint_that_said_it_leaves_gets_no_work_until_it_starts_anew() {
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    let mut other = roster.clone();
    assert!(roster.record_leaving(NOW, &"a".into()));
    let moved = Entry {
        span: Some(Span { from: 0, to: 6 }),
        ..entry("a", 1)
    };
    roster.apply(NOW, change(2, moved));
    assert!(serving(&roster, NOW).is_empty(), "its entry is older news");
    for notice in roster.leaving_notices(NOW) {
        assert!(other.apply_notice(NOW, &notice));
        assert!(!other.apply_notice(NOW, &notice));
    }
    assert!(serving(&other, NOW + Millis::seconds(60)).is_empty());
    other.apply(NOW, change(3, entry("a", 2)));
    assert_eq!(serving(&other, NOW), ["a"]);
    for notice in roster.leaving_notices(NOW) {
        assert!(!other.apply_notice(NOW, &notice), "of an earlier start");
    }
}

#[test]
fn a_pause_holds_over_successes_and_lapses() {
    let pause = Millis(1500);
    let mut roster = Roster::default();
    roster.apply(NOW, change(1, entry("a", 1)));
    assert!(roster.record_pause(NOW, &"a".into(), pause));
    roster.health(&"a".into()).expect("known").record_success();
    roster.record_store_return(NOW);
    roster.apply(NOW, removal(2, "a"));
    roster.apply(NOW, change(3, entry("a", 1)));
    let until = NOW + pause;
    assert_eq!(roster.paused_for(NOW, &"a".into()), Some(pause));
    assert_eq!(roster.shortest_pause(until, &"ledger".into()), None);
    assert_eq!(roster.paused_for(until, &"a".into()), None);
}

#[test]
fn a_pause_is_a_number_of_seconds_with_a_bound() {
    for (text, millis) in [("0", 0), ("1", 1000), ("0.25", 250), (" 2.0004 ", 2001)] {
        assert_eq!(parse_pause(text), Ok(Millis(millis)), "{text}");
    }
    assert_eq!(parse_pause("1e300"), Ok(MAX_PAUSE));
    for text in [
        "",
        "soon",
        "-1",
        "NaN",
        "inf",
        "Fri, 04 Dec 2026 10:00:00 GMT",
    ] {
        assert_eq!(parse_pause(text), Err(PauseError), "{text}");
    }
}

fn change_in(era: u64, offset: u64, entry: Entry) -> Change {
    Change {
        offset: Position::new(era, offset),
        ..change(0, entry)
    }
}

#[test]
fn an_endpoint_that_left_stays_left_when_the_stores_older_copy_lists_it() {
    let leaving = Entry {
        leaving: true,
        ..entry("a", 1)
    };
    for last in [Some(leaving), None] {
        let mut roster = Roster::default();
        roster.apply(NOW, change_in(0, 1, entry("a", 1)));
        let end = Change {
            entry: last.clone(),
            ..change_in(0, 9, entry("a", 1))
        };
        roster.apply(NOW, end);
        roster.record_store_return(NOW);
        roster.apply(NOW, change_in(1, 1, entry("a", 1)));
        assert!(serving(&roster, NOW).is_empty(), "{last:?}");
    }
}

#[test]
fn a_leaving_that_is_written_again_at_a_lower_offset_is_applied() {
    let mut roster = Roster::default();
    roster.apply(NOW, change_in(0, 900, entry("a", 1)));
    roster.advance(Position::new(0, 901));
    let leaving = Entry {
        leaving: true,
        ..entry("a", 1)
    };
    assert!(roster.apply(NOW, change_in(1, 12, leaving)));
    assert!(serving(&roster, NOW).is_empty());
    roster.advance(Position::new(1, 13));
    assert_eq!(roster.end(), Position::new(1, 13));
}

#[test]
fn an_endpoint_that_the_older_copy_lacks_is_used_until_it_is_written_again() {
    let mut roster = Roster::default();
    roster.apply(NOW, change_in(0, 7, entry("a", 1)));
    roster.record_store_return(NOW);
    for gone in roster.removals(&[], Position::new(1, 3)) {
        roster.apply(NOW, gone);
    }
    assert_eq!(serving(&roster, NOW), ["a"]);
    assert!(serving(&roster, NOW + LAPSE_GRACE).is_empty(), "it is gone");
    roster.apply(NOW, change_in(1, 4, entry("a", 1)));
    assert_eq!(serving(&roster, NOW), ["a"]);
}

#[test]
fn an_endpoint_removed_before_a_fall_is_used_once_it_has_written_again() {
    let mut roster = Roster::default();
    roster.apply(NOW, change_in(0, 1, entry("a", 1)));
    roster.apply(NOW, removal(2, "a"));
    roster.apply(NOW, change_in(1, 1, entry("a", 1)));
    assert!(serving(&roster, NOW).is_empty());
    assert!(roster.apply(NOW, change_in(1, 5, entry("a", 1))));
    assert_eq!(serving(&roster, NOW), ["a"]);
}

//! Decisions after attempts, the shared retry budget, and event streams without gaps or repeats.

use cornelwharf::clock::Millis;
use cornelwharf::core::attempt::Ending;
use cornelwharf::core::attempt::EventBuffer;
use cornelwharf::core::attempt::MAX_EVENT_BYTES;
use cornelwharf::core::attempt::NextStep;
use cornelwharf::core::attempt::RetryBudget;
use cornelwharf::core::attempt::RetryState;
use cornelwharf::core::attempt::next_step;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::proptest;

const WINDOW: Millis = Millis::seconds(10);
/// Long before the times in the tests, so that the first window has passed.
const START: Millis = Millis(0);

fn states() -> impl Iterator<Item = RetryState> {
    (0..8).map(|bits| RetryState {
        can_repeat: bits & 1 != 0,
        can_retry: bits & 2 != 0,
        may_have_run: bits & 4 != 0,
    })
}

#[test]
fn a_request_is_refused_only_if_no_attempt_may_have_run() {
    for state in states() {
        for ending in [
            Ending::Answered(200),
            Ending::Answered(500),
            Ending::NotRun,
            Ending::Unknown,
        ] {
            if next_step(ending, state) == NextStep::Refuse {
                assert!(
                    ending == Ending::NotRun && !state.may_have_run,
                    "{ending:?} {state:?}"
                );
            }
        }
    }
}

#[test]
fn a_non_repeatable_request_is_not_resent_once_it_may_have_run() {
    for state in states().filter(|state| !state.can_repeat) {
        for ending in [
            Ending::Answered(200),
            Ending::Answered(500),
            Ending::Unknown,
        ] {
            assert_ne!(
                next_step(ending, state),
                NextStep::Retry,
                "{ending:?} {state:?}"
            );
        }
    }
}

#[test]
fn an_answer_is_relayed_if_no_retry_is_left() {
    for state in states().filter(|state| !state.can_retry) {
        assert_eq!(next_step(Ending::Answered(500), state), NextStep::Relay);
    }
}

#[test]
fn all_vms_together_stay_within_the_budget() {
    const VMS: usize = 13;
    let mut budgets = vec![RetryBudget::new(0.2, 425.0, WINDOW, START); VMS];
    let mut taken = 0;
    for step in 0..100 {
        let now = Millis::seconds(100) + Millis(step * 100);
        for budget in &mut budgets {
            budget.record_request(now);
            for _ in 0..20 {
                taken += u32::from(budget.try_retry(now, VMS));
            }
        }
    }
    let requests = 100 * VMS as u32;
    let allowed = 0.2 * f64::from(requests) + 425.0;
    assert!(f64::from(taken) <= allowed, "{taken} of {allowed}");
    assert!(f64::from(taken) > 0.5 * allowed, "{taken} of {allowed}");
}

#[test]
fn vms_that_all_restart_stay_within_the_budget() {
    const VMS: usize = 144;
    const EXTRA: f64 = 582.0;
    let end = Millis::seconds(100);
    let mut before: Vec<_> = (0..VMS)
        .map(|_| RetryBudget::new(0.2, EXTRA, WINDOW, START))
        .collect();
    let mut after: Vec<_> = (0..VMS)
        .map(|_| RetryBudget::new(0.2, EXTRA, WINDOW, end))
        .collect();
    let mut taken = 0;
    for budget in &mut before {
        while budget.try_retry(end - Millis(500), VMS) {
            taken += 1;
        }
    }
    for budget in &mut after {
        while budget.try_retry(end + Millis::seconds(2), VMS) {
            taken += 1;
        }
    }
    assert!(f64::from(taken) <= EXTRA, "{taken}");
}

#[test]
fn a_vm_that_restarts_several_times_in_a_window_stays_within_its_share() {
    const SHARE: f64 = 40.0;
    let mut taken = 0;
    let mut requests = 0;
    for restart in 0..5 {
        let start = Millis::seconds(100) + Millis(restart * 1900);
        let first = restart == 0;
        let mut budget = RetryBudget::new(0.2, SHARE, WINDOW, if first { START } else { start });
        for step in 0..15 {
            let now = start + Millis(step * 100);
            budget.record_request(now);
            requests += 1;
            while budget.try_retry(now, 1) {
                taken += 1;
            }
        }
    }
    let allowed = 0.2 * f64::from(requests) + SHARE;
    assert!(f64::from(taken) <= allowed, "{taken} of {allowed}");
}

#[test]
fn the_budget_refills_after_a_window() {
    let mut budget = RetryBudget::new(0.0, 10.0, WINDOW, START);
    let start = Millis::seconds(50);
    while budget.try_retry(start, 1) {}
    assert!(!budget.try_retry(start + Millis::seconds(5), 1));
    assert!(budget.try_retry(start + Millis::seconds(11), 1));
}

fn event_stream(from: u64, to: u64) -> Vec<u8> {
    let event = |id: u64| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 50));
    (from..=to).map(event).collect::<String>().into_bytes()
}

#[test]
fn a_partial_event_is_never_passed_on() {
    let mut events = EventBuffer::default();
    assert!(events.push(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&events.take()[..], b"id: 1\ndata: a\n\n");
    assert!(!events.is_complete());
    events.discard_partial();
    assert!(events.push(b"id: 2\ndata: b\n\n"));
    assert_eq!(&events.take()[..], b"id: 2\ndata: b\n\n");
    assert_eq!((events.last_id(), events.count()), (Some(2), 2));
}

proptest! {
    #[test]
    fn a_resumed_stream_has_no_gap_and_no_repeat(
        breaks in prop::collection::vec(1_usize..700, 0..5),
        overlap in 0_u64..4,
        piece in 1_usize..90,
        line in any::<bool>(),
    ) {
        let whole = event_stream(1, 40);
        let mut events = EventBuffer::default();
        let mut out = Vec::new();
        for end in breaks {
            let from = events.last_id().map_or(1, |last| (last + 1).saturating_sub(overlap).max(1));
            let bytes = event_stream(from, 40);
            for part in bytes[..end.min(bytes.len())].chunks(piece) {
                events.push(part);
                out.extend_from_slice(&events.take());
            }
            events.discard_partial();
        }
        let from = events.last_id().map_or(1, |last| last + 1);
        events.push(&event_stream(from, 40));
        out.extend_from_slice(&events.take());
        prop_assert_eq!(out, whole, "{}", line);
    }
}

#[test]
fn bytes_that_are_no_events_are_refused() {
    for bytes in [
        &b"<html>\n\n"[..],
        b"\x01\x02\n\n",
        b"id: 1\n\xff\n\n",
        b"two words\n\n",
        b"id: 1\ndata: aHTTP/1.1 503 Busy\r\nRetry-After: 1\r\n\r\n",
    ] {
        assert!(!EventBuffer::default().push(bytes), "{bytes:?}");
    }
    let mut buffer = EventBuffer::default();
    let events =
        b": comment\n\nversion: 2\nevent\r\nid: 1\r\ndata: {\"a\": \"\xc3\xa9\"}\r\n\r\n\n\n";
    assert!(buffer.push(events));
    assert_eq!(buffer.take(), events[..]);
}

/// Events were left out where another endpoint went on.
#[test]
fn a_resumption_that_leaves_events_out_is_refused() {
    let begin = |ids: &[u64]| {
        let mut events = EventBuffer::default();
        for id in ids {
            assert!(events.push(&event_stream(*id, *id)));
        }
        events.discard_partial();
        events
    };
    assert!(!begin(&[1, 2]).push(b"id: 4\ndata: d\n\n"));
    assert!(!begin(&[1, 2]).push(b"id: 2\ndata: b\n\nid: 4\ndata: d\n\n"));
    assert!(begin(&[1, 2]).push(b"id: 3\ndata: c\n\nid: 5\ndata: e\n\n"));
    assert!(begin(&[1, 4]).push(b"id: 8\ndata: h\n\n"), "ids have gaps");
    assert!(begin(&[u64::MAX - 1, u64::MAX]).push(b"data: no id\n\n"));
}

#[test]
fn an_event_without_end_is_refused_at_the_limit_in_small_pieces() {
    let mut buffer = EventBuffer::default();
    let mut size = 0;
    while buffer.push(b"data: aaaaaaaaaa\r\n") {
        size += 18;
        assert!(size <= MAX_EVENT_BYTES);
    }
    assert!(size > MAX_EVENT_BYTES - 36);
}

//! Tests of at-most-once calls: the fold of a stream, and one daemon with a log in memory.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use cornelwharf::clock::Millis;
use cornelwharf::core::once::Action;
use cornelwharf::core::once::Answer;
use cornelwharf::core::once::Attempt;
use cornelwharf::core::once::Batch;
use cornelwharf::core::once::Body;
use cornelwharf::core::once::Boot;
use cornelwharf::core::once::CallDigest;
use cornelwharf::core::once::CallId;
use cornelwharf::core::once::Claim;
use cornelwharf::core::once::Entry;
use cornelwharf::core::once::Event;
use cornelwharf::core::once::Header;
use cornelwharf::core::once::Holder;
use cornelwharf::core::once::Ident;
use cornelwharf::core::once::KeyId;
use cornelwharf::core::once::Message;
use cornelwharf::core::once::Offset;
use cornelwharf::core::once::Once;
use cornelwharf::core::once::Outcome;
use cornelwharf::core::once::Release;
use cornelwharf::core::once::Reply;
use cornelwharf::core::once::Ruling;
use cornelwharf::core::once::Settings;
use cornelwharf::core::once::Shard;
use cornelwharf::core::once::StreamId;
use cornelwharf::core::once::Verdict;
use cornelwharf::core::once::WINDOW;
use cornelwharf::core::once::key_time;
use cornelwharf::error::Code;
use cornelwharf::error::Ran;
use cornelwharf::names::Team;
use cornelwharf::names::Vm;

const STREAM: StreamId = StreamId(0);
/// A UUID of version 7 with the time [`START`].
const KEY_V7: &str = "018bcfe5-6800-7000-8000-000000000000";
const START: Millis = Millis(1_700_000_000_000);

fn holder(vm: &str) -> Holder {
    Holder {
        vm: Vm::from(vm),
        boot: Boot(1),
    }
}

fn claim(vm: &str, attempt: u64, call: u128) -> Claim {
    Claim {
        team: Team::from("team"),
        key: KeyId(7),
        call: CallDigest(call),
        holder: holder(vm),
        attempt: Attempt(attempt),
        time: START,
        opaque: false,
    }
}

fn release(vm: &str, attempt: u64) -> Entry {
    Entry::Release(Release {
        key: KeyId(7),
        holder: holder(vm),
        attempt: Attempt(attempt),
        time: START,
    })
}

fn small(body: &'static str) -> Answer {
    Answer::Small {
        status: 201,
        headers: vec![Header {
            name: "content-type".into(),
            value: "text/plain".into(),
        }],
        body: Body(Bytes::from_static(body.as_bytes())),
    }
}

fn outcome(vm: &str, attempt: u64) -> Entry {
    Entry::Outcome(Outcome {
        key: KeyId(7),
        holder: holder(vm),
        attempt: Attempt(attempt),
        answer: small("done"),
    })
}

/// Folds one record with one entry and returns the verdict on it.
fn fold(shard: &mut Shard, entry: Entry) -> Option<Verdict> {
    shard
        .fold(&Batch(vec![entry]))
        .pop()
        .map(|(_, verdict)| verdict)
}

fn lost(vm: &str, answer: Option<Answer>) -> Verdict {
    let holder = holder(vm);
    Verdict::Lost { holder, answer }
}

#[test]
fn first_claim_wins_and_repeated_claims_change_nothing() {
    let mut shard = Shard::default();
    let won = Some(Verdict::Won { offset: Offset(0) });
    assert_eq!(fold(&mut shard, Entry::Claim(claim("a", 1, 1))), won);
    assert_eq!(fold(&mut shard, Entry::Claim(claim("a", 1, 1))), won);
    assert_eq!(
        fold(&mut shard, Entry::Claim(claim("a", 2, 1))),
        Some(lost("a", None))
    );
    assert_eq!(
        fold(&mut shard, Entry::Claim(claim("b", 1, 1))),
        Some(lost("a", None))
    );
    assert_eq!(
        fold(&mut shard, Entry::Claim(claim("b", 1, 2))),
        Some(Verdict::Reused)
    );
    fold(&mut shard, outcome("b", 1));
    assert_eq!(
        fold(&mut shard, Entry::Claim(claim("b", 1, 1))),
        Some(lost("a", None))
    );
    fold(&mut shard, outcome("a", 1));
    let done = Some(lost("a", Some(small("done"))));
    assert_eq!(fold(&mut shard, Entry::Claim(claim("b", 1, 1))), done);
    fold(&mut shard, release("a", 1));
    assert_eq!(fold(&mut shard, Entry::Claim(claim("b", 1, 1))), done);
}

#[test]
fn released_key_can_be_claimed_and_late_copies_of_the_claim_are_void() {
    for late in [false, true] {
        let mut shard = Shard::default();
        if !late {
            fold(&mut shard, Entry::Claim(claim("a", 1, 1)));
        }
        fold(&mut shard, release("b", 1));
        fold(&mut shard, release("a", 1));
        assert_eq!(
            fold(&mut shard, Entry::Claim(claim("a", 1, 1))),
            Some(Verdict::Void)
        );
        let won = Some(Verdict::Won {
            offset: shard.next(),
        });
        assert_eq!(fold(&mut shard, Entry::Claim(claim("a", 2, 1))), won);
    }
}

#[test]
fn only_the_holder_releases() {
    let mut shard = Shard::default();
    fold(&mut shard, Entry::Claim(claim("a", 2, 1)));
    fold(&mut shard, release("b", 2));
    fold(&mut shard, release("a", 1));
    assert_eq!(
        fold(&mut shard, Entry::Claim(claim("c", 1, 1))),
        Some(lost("a", None))
    );
}

#[test]
fn snapshot_gives_the_state_to_a_fold_that_starts_later() {
    let mut shard = Shard::default();
    fold(&mut shard, Entry::Claim(claim("a", 1, 1)));
    fold(&mut shard, outcome("a", 1));
    let mut fresh = Shard::start(Offset(1));
    assert_eq!(fold(&mut fresh, Entry::Claim(claim("b", 1, 1))), None);
    assert_eq!(fresh.known_verdict(&Entry::Claim(claim("b", 1, 1))), None);
    for part in shard.snapshot_parts(&holder("a"), Millis(0)) {
        fold(&mut fresh, Entry::Snapshot(part));
    }
    assert!(fresh.has_base());
    assert_eq!(fresh.next(), shard.next());
    let done = Some(lost("a", Some(small("done"))));
    assert_eq!(fold(&mut fresh, Entry::Claim(claim("b", 1, 1))), done);
}

#[test]
fn snapshot_followed_by_lost_records_is_no_base() {
    let mut shard = Shard::default();
    fold(&mut shard, Entry::Claim(claim("a", 1, 1)));
    let parts = shard.snapshot_parts(&holder("a"), Millis(0));
    let mut fresh = Shard::start(Offset(9));
    for part in parts {
        fold(&mut fresh, Entry::Snapshot(part));
    }
    assert!(!fresh.has_base());
}

#[test]
fn key_older_than_the_floor_never_wins() {
    let mut shard = Shard::default();
    fold(&mut shard, Entry::Claim(claim("a", 1, 1)));
    for part in shard.snapshot_parts(&holder("a"), START + Millis(1)) {
        fold(&mut shard, Entry::Snapshot(part));
    }
    assert!(shard.is_empty());
    assert_eq!(
        fold(&mut shard, Entry::Claim(claim("b", 1, 1))),
        Some(Verdict::Expired)
    );
}

#[test]
fn keys_that_may_be_in_lost_records_are_refused() {
    let mut shard = Shard::start(Offset(5));
    let reset = shard.empty_snapshot(&holder("a"), START + Millis(10), WINDOW);
    fold(&mut shard, Entry::Snapshot(reset));
    assert_eq!(
        fold(&mut shard, Entry::Claim(claim("a", 1, 1))),
        Some(Verdict::Expired)
    );
    let dated = Claim {
        time: START + Millis(10),
        ..claim("a", 2, 1)
    };
    let opaque = Claim {
        opaque: true,
        ..dated.clone()
    };
    assert_eq!(
        fold(&mut shard, Entry::Claim(opaque)),
        Some(Verdict::Expired)
    );
    assert!(matches!(
        fold(&mut shard, Entry::Claim(dated)),
        Some(Verdict::Won { .. })
    ));
}

#[test]
fn records_round_trip_through_json() {
    let entries = vec![
        Entry::Claim(claim("a", 1, 1)),
        outcome("a", 1),
        release("a", 1),
    ];
    let batch = Batch(entries);
    let text = serde_json::to_string(&batch).unwrap();
    assert!(text.contains(r#""key":"00000000000000000000000000000007""#));
    assert_eq!(serde_json::from_str::<Batch>(&text).unwrap(), batch);
}

#[test]
fn only_uuids_of_version_7_contain_a_time() {
    assert_eq!(key_time(&KEY_V7.into()), Some(START));
    for other in [
        "",
        "k-17",
        "018bcfe5-6800-4000-8000-000000000000",
        "018bcfe5é6800-7000-8000-00000000000",
    ] {
        assert_eq!(key_time(&other.into()), None);
    }
}

/// A daemon that is home of the only stream, and a log in memory that can be taken down.
struct TestDaemon {
    now: Millis,
    once: Once,
    log: Vec<Batch>,
    log_is_up: bool,
    calls: u64,
}

impl TestDaemon {
    fn new() -> Self {
        let settings = Settings {
            streams: 1,
            ..Settings::new(holder("a"))
        };
        let once = Once::new(settings);
        let mut daemon = Self {
            now: START,
            once,
            log: Vec::new(),
            log_is_up: true,
            calls: 0,
        };
        let order = vec![Vm::from("a")];
        daemon.feed(Event::Homes {
            stream: STREAM,
            order,
        });
        daemon
    }

    /// Processes an event, answers the appends and reads that follow from the log, and returns the
    /// remaining actions.
    fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.once.step(self.now, event, &mut actions);
        let mut rest = Vec::new();
        for action in actions {
            let answer = match action {
                Action::Append {
                    ticket,
                    stream,
                    batch,
                } if self.log_is_up => {
                    self.log.push(batch);
                    let offset = Offset(self.log.len() as u64 - 1);
                    Event::Appended {
                        ticket,
                        stream,
                        offset,
                    }
                }
                Action::Append { ticket, .. } => Event::AppendRefused { ticket },
                Action::Read { stream, from } if self.log_is_up => {
                    let records = self.log.iter().skip(from.0 as usize).cloned().collect();
                    Event::Records {
                        stream,
                        from,
                        records,
                    }
                }
                Action::Read { .. } => continue,
                other => {
                    rest.push(other);
                    continue;
                }
            };
            rest.extend(self.feed(answer));
        }
        rest
    }

    /// Makes a call and returns it with the actions of the next 100 ms.
    fn call(&mut self, key: &str, digest: u128) -> (CallId, Vec<Action>) {
        self.calls += 1;
        let id = CallId(self.calls);
        let event = Event::Call {
            id,
            team: Team::from("team"),
            key: Arc::from(key),
            digest: CallDigest(digest),
            deadline: self.now + Millis::seconds(60),
        };
        let mut actions = self.feed(event);
        actions.extend(self.advance(Millis(100)));
        (id, actions)
    }

    /// Advances the clock by `span`, with a tick every 50 ms.
    fn advance(&mut self, span: Millis) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += Millis(50);
            actions.extend(self.feed(Event::Tick));
        }
        actions
    }

    /// Delivers a ruling of VM b that a claim of `holder` has won.
    fn receive_won(&mut self, holder: Holder, attempt: u64) -> Vec<Action> {
        let key = KeyId::of(&Team::from("team"), KEY_V7);
        let attempt = Attempt(attempt);
        let ident = Ident {
            key,
            holder,
            attempt,
            claim: true,
        };
        let verdict = Some(Verdict::Won { offset: Offset(0) });
        let message = Message::Rulings(vec![Ruling {
            ident,
            verdict,
            queued: true,
        }]);
        self.feed(Event::Peer {
            vm: Vm::from("b"),
            message,
        })
    }

    /// Appends a claim of VM b, whose boot is believed alive if `live` is set.
    fn append_claim_of_b(&mut self, live: bool) {
        let key = KeyId::of(&Team::from("team"), KEY_V7);
        let other = Claim {
            key,
            ..claim("b", 1, 1)
        };
        self.log.push(Batch(vec![Entry::Claim(other)]));
        let boots = live.then(|| holder("b"));
        self.feed(Event::Live(boots.into_iter().collect::<BTreeSet<_>>()));
    }
}

/// Returns the code and `ran` of a single failure reply.
fn failure(actions: &[Action]) -> Option<(Code, Ran)> {
    match actions {
        [
            Action::Reply {
                reply: Reply::Failure(failure),
                ..
            },
        ] => Some((failure.code, failure.ran)),
        _ => None,
    }
}

#[test]
fn answer_is_replayed_to_every_later_call() {
    let mut daemon = TestDaemon::new();
    let (id, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(actions, [Action::Run(id)]);
    daemon.feed(Event::Sent(id));
    let (waiter, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(actions, []);
    let reply = Reply::Replay(small("done"));
    let replayed = |id| Action::Reply {
        id,
        reply: reply.clone(),
    };
    let actions = daemon.feed(Event::Answered {
        id,
        answer: small("done"),
    });
    assert_eq!(actions, [replayed(waiter)]);
    let (late, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(actions, [replayed(late)]);
    let (_, actions) = daemon.call(KEY_V7, 2);
    assert_eq!(failure(&actions), Some((Code::KeyReused, Ran::No)));
}

#[test]
fn call_without_an_answer_stays_unknown_and_an_unsent_one_runs_again() {
    let mut daemon = TestDaemon::new();
    let (id, _) = daemon.call(KEY_V7, 1);
    daemon.feed(Event::Unsent(id));
    daemon.advance(Millis(200));
    let (id, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(actions, [Action::Run(id)]);
    daemon.feed(Event::Sent(id));
    daemon.feed(Event::Broke(id));
    let (_, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(
        failure(&actions),
        Some((Code::OutcomeUnknown, Ran::Unknown))
    );
}

#[test]
fn call_waits_for_the_claim_of_a_live_boot_but_not_of_a_dead_one() {
    let mut daemon = TestDaemon::new();
    daemon.append_claim_of_b(false);
    let (_, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(
        failure(&actions),
        Some((Code::OutcomeUnknown, Ran::Unknown))
    );
    let mut daemon = TestDaemon::new();
    daemon.append_claim_of_b(true);
    let (_, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(actions, []);
    let actions = daemon.advance(Millis::seconds(6));
    assert_eq!(failure(&actions), Some((Code::InProgress, Ran::Unknown)));
}

#[test]
fn call_during_a_log_outage_fails_within_a_second_and_is_never_sent_later() {
    let mut daemon = TestDaemon::new();
    daemon.log_is_up = false;
    let (_, mut actions) = daemon.call(KEY_V7, 1);
    actions.extend(daemon.advance(Millis(900)));
    assert_eq!(failure(&actions), Some((Code::LogUnavailable, Ran::No)));
    daemon.log_is_up = true;
    assert_eq!(daemon.advance(Millis::seconds(5)), []);
    let released = |batch: &Batch| matches!(batch.0[..], [Entry::Release(_), ..]);
    assert!(daemon.log.iter().any(released));
    let (id, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(actions, [Action::Run(id)]);
}

#[test]
fn age_of_a_key_is_checked() {
    let mut daemon = TestDaemon::new();
    daemon.now = START + WINDOW + Millis(1);
    let (_, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(failure(&actions), Some((Code::KeyExpired, Ran::Unknown)));
    daemon.now = START - Millis::seconds(120);
    let (_, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(failure(&actions), Some((Code::BadRequest, Ran::No)));
}

#[test]
fn ruling_on_another_boot_or_attempt_runs_nothing() {
    let mut daemon = TestDaemon::new();
    let order = vec![Vm::from("b"), Vm::from("a")];
    daemon.feed(Event::Homes {
        stream: STREAM,
        order,
    });
    let (id, _) = daemon.call(KEY_V7, 1);
    let earlier = Holder {
        boot: Boot(0),
        ..holder("a")
    };
    assert_eq!(daemon.receive_won(earlier, 1), []);
    assert_eq!(daemon.receive_won(holder("a"), 2), []);
    assert_eq!(daemon.receive_won(holder("a"), 1), [Action::Run(id)]);
    assert_eq!(daemon.receive_won(holder("a"), 1), []);
}

#[test]
fn long_snapshot_does_not_delay_claims() {
    let mut daemon = TestDaemon::new();
    let claims = (0..5000).map(|key| Claim {
        key: KeyId(key),
        ..claim("b", 1, 1)
    });
    daemon.log.push(Batch(claims.map(Entry::Claim).collect()));
    daemon.advance(Millis(100));
    let (id, actions) = daemon.call(KEY_V7, 1);
    assert_eq!(actions, [Action::Run(id)]);
    daemon.advance(Millis::seconds(1));
    let entries: Vec<&Entry> = daemon
        .log
        .iter()
        .skip(1)
        .flat_map(|batch| &batch.0)
        .collect();
    let claimed = entries
        .iter()
        .position(|entry| matches!(entry, Entry::Claim(_)));
    let carried = entries
        .iter()
        .rposition(|entry| matches!(entry, Entry::Snapshot(_)));
    assert!(claimed.is_some() && claimed < carried);
}

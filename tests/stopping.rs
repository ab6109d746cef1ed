//! Callers go on to use the address of a VM that was told to stop: what it takes and what it refuses.

use cornelwharf::clock::Millis;
use cornelwharf::core::stop::ACCEPT_TIME;
use cornelwharf::core::stop::RunLimit;
use cornelwharf::core::stop::takes_request;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// How long callers may cache an address.
const CACHE_TIME: u64 = 5000;

fn once(longest: u64) -> RunLimit {
    RunLimit {
        longest: Millis(longest),
        usual: None,
    }
}

#[test]
fn a_request_that_may_not_be_continued_ends_within_the_grace_or_is_not_taken() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for grace in [1, 2, 3, 8, 30].map(Millis::seconds) {
        let mut taken = 0;
        for _ in 0..10_000 {
            let passed = Millis(rng.random_range(0..CACHE_TIME));
            let longest = rng.random_range(100..20_000);
            if takes_request(passed, grace, once(longest)) {
                taken += 1;
                assert!(passed + Millis(longest) < grace, "{passed:?} {longest}");
                assert!(passed <= ACCEPT_TIME);
            }
        }
        assert!(taken > 0 || grace <= Millis::seconds(1), "{grace:?}");
    }
}

#[test]
fn short_requests_are_taken_for_as_long_as_new_callers_come() {
    for passed in 0..=ACCEPT_TIME.0 {
        assert!(takes_request(
            Millis(passed),
            Millis::seconds(8),
            once(1500)
        ));
    }
}

#[test]
fn a_stream_that_can_be_continued_is_taken_if_it_usually_ends_in_time() {
    let grace = Millis::seconds(8);
    let stream = |usual| RunLimit {
        longest: Millis::seconds(20),
        usual: Some(usual),
    };
    assert!(takes_request(Millis(500), grace, stream(2000.0)));
    assert!(takes_request(Millis(2500), grace, stream(2000.0)));
    assert!(!takes_request(Millis(500), grace, stream(6000.0)));
    assert!(!takes_request(Millis(500), grace, once(20_000)));
}

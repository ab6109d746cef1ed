//! More callers come than the process has descriptors, without a network: what is left for endpoints.

use cornelwharf::clock::Millis;
use cornelwharf::core::intake::Intake;

const FILES: usize = 1000;

#[test]
fn callers_take_each_descriptor_that_becomes_free() {
    let mut intake = Intake::default();
    let mut now = Millis::seconds(100);
    while intake.open() < FILES {
        assert!(intake.begin(now));
    }
    // Nine callers come for each that leaves.
    for _ in 0..FILES {
        now += Millis(5);
        intake.end();
        for _ in 0..9 {
            if intake.open() == FILES {
                intake.record_exhaustion(now);
            } else {
                intake.begin(now);
            }
        }
    }
    let free = FILES - intake.open();
    assert!(free >= FILES / 10, "{free} descriptors for endpoints");
}

#[test]
fn few_callers_are_refused_because_others_hold_the_descriptors() {
    let mut intake = Intake::default();
    let now = Millis::seconds(100);
    for _ in 0..8 {
        assert!(intake.begin(now));
    }
    intake.record_exhaustion(now);
    assert!(intake.begin(now));
}

#[test]
fn callers_are_limited_long_after_descriptors_ran_out() {
    let mut intake = Intake::default();
    let now = Millis::seconds(100);
    for _ in 0..FILES {
        assert!(intake.begin(now));
    }
    intake.record_exhaustion(now);
    assert!(!intake.begin(now));
    assert!(intake.begin(now + Millis::seconds(15)));
}

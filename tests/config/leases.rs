//! Tests of leases, whose holder is decided by the log order.

use cornelwharf::clock::Millis;
use cornelwharf::core::config::lease::Holder;
use cornelwharf::core::config::lease::LeaseRequest;
use cornelwharf::core::config::lease::TAKEOVER_DELAY;
use cornelwharf::core::config::outcome::Outcome;

use crate::log::Log;

const SPAN: Millis = Millis::seconds(10);

fn ask(log: &mut Log, vm: &str, boot: u64, at: Millis, span: Millis) -> Outcome {
    log.append(LeaseRequest {
        name: "orders.low".into(),
        holder: Holder {
            vm: vm.into(),
            boot,
        },
        at,
        span,
    })
}

fn fence(log: &Log) -> u64 {
    log.state.lease(&"orders.low".into()).unwrap().fence.0
}

#[test]
fn the_first_request_in_the_log_gets_the_lease_and_renews_it() {
    let mut log = Log::base();
    assert_eq!(ask(&mut log, "a", 1, Millis(100), SPAN), Outcome::Accepted);
    let first = fence(&log);
    assert!(matches!(
        ask(&mut log, "b", 1, Millis(101), SPAN),
        Outcome::LeaseHeld { .. }
    ));
    assert!(matches!(
        ask(&mut log, "a", 2, Millis(102), SPAN),
        Outcome::LeaseHeld { .. }
    ));
    assert_eq!(ask(&mut log, "a", 1, Millis(5000), SPAN), Outcome::Accepted);
    assert_eq!(fence(&log), first);
    assert_eq!(ask(&mut log, "a", 1, Millis(200), SPAN), Outcome::Unchanged);
}

#[test]
fn an_expired_lease_is_granted_to_another_after_the_takeover_delay() {
    let mut log = Log::base();
    ask(&mut log, "a", 1, Millis(0), SPAN);
    let first = fence(&log);
    let end = SPAN + TAKEOVER_DELAY;
    assert!(matches!(
        ask(&mut log, "b", 1, end, SPAN),
        Outcome::LeaseHeld { .. }
    ));
    assert_eq!(
        ask(&mut log, "b", 1, end + Millis(1), SPAN),
        Outcome::Accepted
    );
    assert!(fence(&log) > first);
    assert!(matches!(
        ask(&mut log, "a", 1, end, SPAN),
        Outcome::LeaseHeld { .. }
    ));
}

#[test]
fn a_lease_can_be_released_and_its_duration_is_limited() {
    let mut log = Log::base();
    assert_eq!(
        ask(&mut log, "a", 1, Millis(0), Millis::seconds(61)),
        Outcome::Invalid
    );
    ask(&mut log, "a", 1, Millis(0), SPAN);
    ask(&mut log, "a", 1, Millis(1), Millis(0));
    let free = TAKEOVER_DELAY + Millis(2);
    assert_eq!(ask(&mut log, "b", 1, free, SPAN), Outcome::Accepted);
}

//! Callers leave while their requests are in progress.

use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::io::http::Conn;
use cornelwharf::io::timeout::within;
use cornelwharf::standin::fleet::CrashTarget;
use http::StatusCode;

use super::CRASH_LIMIT;
use super::World;
use super::run;
use super::sleep;

/// How long a report takes, and with it a check for lost endpoints.
const REPORT_DELAY: Millis = Millis(100);
/// When the caller leaves: the endpoint has crashed by then, and the check goes on.
const PATIENCE: Millis = Millis(50);
/// How long a crashed endpoint takes to be used again.
const RECOVERY: Millis = Millis(1500);
/// The longest time that the next request may take: the timeout of its route.
const ROUTE_TIMEOUT: Millis = Millis::seconds(6);

/// Sends a request whose caller leaves after `patience`.
async fn call_and_leave(world: &World, path: &str, patience: Millis) {
    let mut conn = Conn::dial(world.fronts[0]).await.expect("a connection");
    let request = world.request(path, "red-key");
    conn.writer.request(&request).await.expect("sent");
    sleep(patience).await;
}

/// A check for lost endpoints that ended with its caller's request was in progress for good.
#[test]
fn a_caller_that_leaves_during_a_check_does_not_hold_up_later_requests() {
    run(async |world: Rc<World>| {
        world.endpoints.delay_reports(REPORT_DELAY);
        for path in ["/read/crash", "/read/again"] {
            world.endpoints.crash_on(path, CrashTarget::First);
        }
        call_and_leave(&world, "/read/crash", PATIENCE).await;
        assert_eq!(world.endpoints.crash_count(), 1);
        sleep(RECOVERY).await;
        let answer = within(ROUTE_TIMEOUT, world.call(0, "/read/again", "red-key")).await;
        let answer = answer.expect("an answer within the route's timeout");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "both crashed");
        assert_eq!(world.endpoints.crash_count(), 3);
    });
}

/// The crash of an endpoint was not recorded if the caller left before it was confirmed.
#[test]
fn a_request_whose_callers_leave_is_barred_after_it_crashed_three_endpoints() {
    run(async |world: Rc<World>| {
        world.endpoints.delay_reports(REPORT_DELAY);
        world.endpoints.crash_on("/read/crash", CrashTarget::First);
        for _ in 0..CRASH_LIMIT {
            call_and_leave(&world, "/read/crash", PATIENCE).await;
            sleep(RECOVERY).await;
        }
        assert_eq!(world.endpoints.crash_count(), CRASH_LIMIT);
        let answer = world.call(0, "/read/crash", "red-key").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(world.endpoints.crash_count(), CRASH_LIMIT);
    });
}

//! Admission control: fair queueing, priorities, early refusals, quotas and the VMs' slot shares.

use std::collections::BTreeMap;

use cornelwharf::clock::Millis;
use cornelwharf::core::config::object::Priority;
use cornelwharf::core::limit::Action;
use cornelwharf::core::limit::Decision;
use cornelwharf::core::limit::Finish;
use cornelwharf::core::limit::Limiter;
use cornelwharf::core::limit::Request;
use cornelwharf::core::limit::quota::Demand;
use cornelwharf::core::limit::quota::Quota;
use cornelwharf::core::limit::share::SlotShare;
use cornelwharf::error::Code;
use cornelwharf::error::Ran;
use cornelwharf::names::ServiceName;
use cornelwharf::names::Team;
use cornelwharf::names::Vm;

const FAR: Millis = Millis::seconds(10_000);

fn service() -> ServiceName {
    "s".into()
}

fn request(id: u64, team: &str, weight: u32, priority: Priority) -> Request {
    Request {
        id,
        team: team.into(),
        weight,
        rate_limit: 0,
        priority,
        cost: 1,
        deadline: FAR,
        service: service(),
    }
}

/// Returns a limiter with four slots and a known service time of 100 ms.
fn limiter() -> Limiter {
    let mut limiter = Limiter::default();
    limiter.set_slots(&service(), 4);
    let mut actions = Vec::new();
    for id in 1..=4 {
        assert_eq!(
            limiter.offer(Millis(0), request(id, "warm", 1, Priority::Normal)),
            Decision::Admit
        );
    }
    for id in 1..=4 {
        limiter.finished(Millis(100), &service(), id, Finish::Served, &mut actions);
    }
    assert!(actions.is_empty());
    limiter
}

/// Ends the requests in `busy` one by one until `count` queued ones were admitted, which join the
/// end of `busy`; returns the admitted ids in order.
fn serve(limiter: &mut Limiter, mut busy: Vec<u64>, count: usize) -> Vec<u64> {
    let mut served = Vec::new();
    while served.len() < count && !busy.is_empty() {
        let mut actions = Vec::new();
        let id = busy.remove(0);
        limiter.finished(Millis(200), &service(), id, Finish::Served, &mut actions);
        for action in actions {
            let Action::Admit(next) = action else {
                panic!("{action:?}");
            };
            busy.push(next);
            served.push(next);
        }
    }
    served
}

fn fill(limiter: &mut Limiter) -> Vec<u64> {
    for id in 10..14 {
        let decision = limiter.offer(Millis(100), request(id, "first", 1, Priority::Normal));
        assert_eq!(decision, Decision::Admit);
    }
    vec![10, 11, 12, 13]
}

#[test]
fn teams_share_by_weight_regardless_of_demand() {
    let mut limiter = limiter();
    let busy = fill(&mut limiter);
    for id in 100..400 {
        limiter.offer(Millis(150), request(id, "large", 1, Priority::Normal));
    }
    for id in 1000..1100 {
        limiter.offer(Millis(150), request(id, "small", 3, Priority::Normal));
    }
    let served = serve(&mut limiter, busy, 80);
    let small = served.iter().filter(|&&id| id >= 1000).count();
    assert!((59..=61).contains(&small), "{small}");
}

#[test]
fn a_busy_team_gets_the_share_of_idle_teams() {
    let mut limiter = limiter();
    let busy = fill(&mut limiter);
    for id in 100..150 {
        limiter.offer(Millis(150), request(id, "only", 1, Priority::Batch));
    }
    assert_eq!(
        serve(&mut limiter, busy, 50),
        (100..150).collect::<Vec<u64>>()
    );
}

#[test]
fn urgent_goes_first_and_batch_does_not_starve() {
    let mut limiter = limiter();
    let busy = fill(&mut limiter);
    let classes = [Priority::Batch, Priority::Normal, Priority::Urgent];
    for (start, class) in [100, 1000, 2000].into_iter().zip(classes) {
        for id in start..start + 200 {
            limiter.offer(Millis(150), request(id, "t", 1, class));
        }
    }
    let mut counts = BTreeMap::<u64, u32>::new();
    for id in serve(&mut limiter, busy, 170) {
        *counts.entry(id / 1000).or_default() += 1;
    }
    let (batch, normal, urgent) = (counts[&0], counts[&1], counts[&2]);
    assert!(urgent >= 135 && normal >= 15 && batch >= 9, "{counts:?}");
}

#[test]
fn a_request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut limiter = limiter();
    fill(&mut limiter);
    for id in 100..140 {
        assert_eq!(
            limiter.offer(Millis(150), request(id, "t", 1, Priority::Normal)),
            Decision::Queue
        );
    }
    let late = Request {
        deadline: Millis(650),
        ..request(500, "t", 1, Priority::Normal)
    };
    let Decision::Refuse(failure) = limiter.offer(Millis(150), late) else {
        panic!("the request was not refused");
    };
    assert_eq!((failure.code, failure.ran), (Code::Overloaded, Ran::No));
    // 40 requests are ahead, 4 end per 100 ms, and the estimate has a safety factor of 2.
    assert_eq!(failure.retry, Some(Millis(2000)));
}

#[test]
fn a_queued_request_is_refused_when_too_little_time_is_left() {
    let mut limiter = limiter();
    let busy = fill(&mut limiter);
    let soon = Request {
        deadline: Millis(400),
        ..request(50, "t", 1, Priority::Normal)
    };
    assert_eq!(limiter.offer(Millis(150), soon), Decision::Queue);
    let mut actions = Vec::new();
    limiter.tick(Millis(275), &mut actions);
    assert!(actions.is_empty());
    limiter.tick(Millis(276), &mut actions);
    let [Action::Refuse(50, failure)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((failure.code, failure.ran), (Code::DeadlinePassed, Ran::No));
    assert!(serve(&mut limiter, busy, 1).is_empty());
}

#[test]
fn a_cancelled_request_costs_its_team_nothing() {
    let mut limiter = limiter();
    let busy = fill(&mut limiter);
    for id in 100..140 {
        limiter.offer(Millis(150), request(id, "a", 1, Priority::Normal));
    }
    limiter.offer(Millis(150), request(200, "b", 1, Priority::Normal));
    limiter.offer(Millis(150), request(201, "b", 1, Priority::Normal));
    for id in 100..139 {
        assert!(limiter.cancel(&service(), id));
    }
    assert!(!limiter.cancel(&service(), 100));
    limiter.offer(Millis(150), request(140, "a", 1, Priority::Normal));
    assert_eq!(serve(&mut limiter, busy, 4), [139, 200, 140, 201]);
}

#[test]
fn state_is_kept_only_for_teams_with_queued_requests() {
    let mut limiter = limiter();
    let busy = fill(&mut limiter);
    for id in 0..1000 {
        let team = format!("t{id}");
        limiter.offer(Millis(150), request(1000 + id, &team, 1, Priority::Normal));
    }
    assert_eq!(limiter.service(&service()).teams(), 1000);
    assert_eq!(serve(&mut limiter, busy, 1000).len(), 1000);
    limiter.tick(Millis(250), &mut Vec::new());
    assert_eq!(limiter.service(&service()).teams(), 0);
}

#[test]
fn a_limit_holds_over_all_vms() {
    let vms: Vec<Vm> = (0..10)
        .map(|at| Vm::from(format!("v{at}").as_str()))
        .collect();
    let mut quotas = vec![Quota::default(); 10];
    for quota in &mut quotas {
        quota.set_peers(9);
    }
    let team = Team::from("t");
    let mut admitted = 0;
    // Three of ten VMs get all the demand: 100 calls per second each, with a global limit of 60.
    for step in 0..3000_u64 {
        let now = Millis(step * 10);
        for quota in quotas.iter_mut().take(3) {
            if quota.take(now, &team, 60).is_ok() && step >= 1000 {
                admitted += 1;
            }
        }
        if step % 100 == 0 {
            share_demand(now, &vms, &mut quotas);
        }
    }
    assert!((1140..=1260).contains(&admitted), "{admitted} in 20 s");
}

fn share_demand(now: Millis, vms: &[Vm], quotas: &mut [Quota]) {
    let reported: Vec<Vec<Demand>> = quotas.iter().map(Quota::demands).collect();
    for (from, demands) in reported.iter().enumerate() {
        for (to, quota) in quotas.iter_mut().enumerate() {
            for demand in demands.iter().filter(|_| from != to) {
                quota.apply_demand(now, &vms[from], demand);
            }
        }
    }
}

#[test]
fn vms_divide_the_slots_by_demand() {
    let mut shares = vec![SlotShare::default(); 4];
    for share in &mut shares {
        share.set_slots(400);
        share.set_peers(3);
        assert_eq!(share.limit(), 100);
    }
    for second in 0..20 {
        for (share, offers) in shares.iter_mut().zip([300, 100, 0, 0]) {
            (0..offers).for_each(|_| share.offered());
            share.tick(Millis::seconds(second + 1));
        }
        let demands: Vec<u32> = shares.iter().map(SlotShare::demand).collect();
        for (to, share) in shares.iter_mut().enumerate() {
            for (from, &demand) in demands.iter().enumerate().filter(|(from, _)| *from != to) {
                share.apply_demand(&Vm::from(format!("v{from}").as_str()), demand);
            }
        }
    }
    let limits: Vec<u32> = shares.iter().map(SlotShare::limit).collect();
    assert_eq!(limits, [300, 100, 10, 10]);
}

//! Tests of approvals by owners, and of drains.

use cornelwharf::core::config::outcome::Outcome;
use cornelwharf::core::config::record::Body;
use cornelwharf::core::config::record::Consent;
use cornelwharf::core::config::record::Party;

use crate::log::BASE;
use crate::log::Log;

#[test]
fn a_grant_needs_the_approval_of_each_endpoint_owner() {
    let mut log = Log::base();
    assert_eq!(log.admitted("web", "chat"), "");
    assert_eq!(log.approve("oak", "web", "chat"), Outcome::Accepted);
    assert_eq!(log.admitted("web", "chat"), "low");
    assert_eq!(log.admitted("web", "store"), "");
    log.approve("elm", "web", "chat");
    assert_eq!(log.admitted("web", "chat"), "high,low");
    assert!(log.state.admits(&"web".into(), &"high".into()));
    assert!(!log.state.admits(&"web".into(), &"db".into()));
    assert_eq!(log.approve("oak", "web", "chat"), Outcome::Unchanged);
}

#[test]
fn only_owners_approve_and_only_where_there_is_a_grant() {
    let mut log = Log::base();
    assert_eq!(log.approve("ada", "web", "chat"), Outcome::NotAllowed);
    assert_eq!(log.approve("oak", "mail", "chat"), Outcome::NotFound);
    let foreign = Body::Approve(Consent {
        owner: "oak".into(),
        team: "web".into(),
        service: "chat".into(),
        endpoint: Some("high".into()),
        at: log.now,
    });
    assert_eq!(log.append(foreign), Outcome::NotAllowed);
    assert_eq!(log.admitted("web", "chat"), "");
}

#[test]
fn an_approval_can_be_revoked_for_one_endpoint() {
    let mut log = Log::base();
    let both = BASE.replace("owner: elm", "owner: oak");
    log.change("ada", &both);
    log.approve("oak", "web", "chat");
    assert_eq!(log.admitted("web", "chat"), "high,low");
    assert_eq!(log.revoke("oak", Some("high")), Outcome::Accepted);
    assert_eq!(log.admitted("web", "chat"), "low");
    assert_eq!(log.revoke("oak", None), Outcome::Accepted);
    assert_eq!(log.admitted("web", "chat"), "");
}

#[test]
fn a_new_owner_of_an_endpoint_must_approve_again() {
    let mut log = Log::base();
    log.approve("oak", "web", "chat");
    log.change("ada", &BASE.replacen("owner: oak", "owner: elm", 1));
    assert_eq!(log.admitted("web", "chat"), "");
    log.approve("elm", "web", "chat");
    assert_eq!(log.admitted("web", "chat"), "high,low");
}

#[test]
fn removing_an_endpoint_ends_its_approval() {
    let mut log = Log::base();
    log.append(Body::Approve(Consent {
        owner: "oak".into(),
        team: "web".into(),
        service: "chat".into(),
        endpoint: Some("low".into()),
        at: log.now,
    }));
    assert_eq!(log.admitted("web", "chat"), "low");
    log.change("ada", "remove: {endpoints: [low]}");
    log.change("ada", BASE);
    assert_eq!(log.admitted("web", "chat"), "");
}

#[test]
fn removing_a_grant_ends_its_approvals() {
    let mut log = Log::base();
    log.approve("oak", "web", "chat");
    log.change("ada", "remove: {grants: [{team: web, service: chat}]}");
    assert_eq!(log.admitted("web", "chat"), "");
    log.change("ada", BASE);
    assert_eq!(log.admitted("web", "chat"), "");
}

#[test]
fn each_party_lifts_only_its_own_drain() {
    let mut log = Log::base();
    log.approve("oak", "web", "chat");
    let operator = Party::Operator("ada".into());
    let owner = Party::Owner("oak".into());
    assert_eq!(log.drain(operator.clone(), true), Outcome::Accepted);
    assert_eq!(log.drain(owner.clone(), true), Outcome::Accepted);
    assert_eq!(log.admitted("web", "chat"), "");
    assert_eq!(log.drain(operator, false), Outcome::Accepted);
    assert_eq!(log.admitted("web", "chat"), "");
    assert_eq!(log.drain(owner.clone(), false), Outcome::Accepted);
    assert_eq!(log.admitted("web", "chat"), "low");
    assert_eq!(log.drain(owner, false), Outcome::Unchanged);
    assert_eq!(
        log.drain(Party::Owner("elm".into()), true),
        Outcome::NotAllowed
    );
}

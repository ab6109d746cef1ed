//! An in-memory log and the state after folding its records.

use cornelwharf::clock::Millis;
use cornelwharf::core::config::change::Offset;
use cornelwharf::core::config::intent::Intent;
use cornelwharf::core::config::outcome::Outcome;
use cornelwharf::core::config::plan::PlanId;
use cornelwharf::core::config::record::Body;
use cornelwharf::core::config::record::Confirm;
use cornelwharf::core::config::record::Consent;
use cornelwharf::core::config::record::DrainOrder;
use cornelwharf::core::config::record::Party;
use cornelwharf::core::config::record::Record;
use cornelwharf::core::config::state::State;

pub const BASE: &str = include_str!("../data/config/base.yaml");

#[derive(Debug, Default)]
pub struct Log {
    pub state: State,
    pub records: Vec<Record>,
    pub now: Millis,
}

impl Log {
    /// Creates a log that holds the base configuration.
    pub fn base() -> Self {
        let mut log = Self::default();
        assert_eq!(log.change("ada", BASE), Outcome::Accepted);
        log
    }

    pub fn append<B>(&mut self, body: B) -> Outcome
    where
        B: Into<Body>,
    {
        self.push(&Record::new(self.state.next(), body))
    }

    pub fn push(&mut self, record: &Record) -> Outcome {
        self.now += Millis(1);
        let offset = Offset(self.records.len() as u64);
        let record = Record::decode(&record.encode());
        let outcome = self.state.apply(offset, &record).unwrap();
        self.records.push(record);
        outcome
    }

    /// Proposes a plan and returns its id.
    pub fn propose(&mut self, by: &str, yaml: &str) -> PlanId {
        let intent = Intent::parse(yaml).unwrap();
        let plan = self.state.plan(self.now, &by.into(), &intent).unwrap();
        let id = plan.id.clone();
        self.append(plan);
        id
    }

    pub fn confirm(&mut self, by: &str, plan: &PlanId) -> Outcome {
        self.append(Confirm {
            plan: plan.clone(),
            by: by.into(),
            at: self.now,
        })
    }

    /// Proposes a plan and confirms it.
    pub fn change(&mut self, by: &str, yaml: &str) -> Outcome {
        let id = self.propose(by, yaml);
        self.confirm(by, &id)
    }

    pub fn approve(&mut self, owner: &str, team: &str, service: &str) -> Outcome {
        self.append(Body::Approve(Consent {
            owner: owner.into(),
            team: team.into(),
            service: service.into(),
            endpoint: None,
            at: self.now,
        }))
    }

    pub fn revoke(&mut self, owner: &str, endpoint: Option<&str>) -> Outcome {
        self.append(Body::Revoke(Consent {
            owner: owner.into(),
            team: "web".into(),
            service: "chat".into(),
            endpoint: endpoint.map(Into::into),
            at: self.now,
        }))
    }

    pub fn drain<P>(&mut self, by: P, on: bool) -> Outcome
    where
        P: Into<Party>,
    {
        self.append(DrainOrder {
            endpoint: "low".into(),
            by: by.into(),
            at: self.now,
            on,
        })
    }

    /// Returns the names of the endpoints that a team may use, separated by commas.
    pub fn admitted(&self, team: &str, service: &str) -> String {
        let names = self.state.admitted(&team.into(), &service.into());
        let mut names: Vec<&str> = names.map(|endpoint| endpoint.name.as_str()).collect();
        names.sort_unstable();
        names.join(",")
    }

    /// Folds all records into a new state.
    pub fn replay(&self) -> State {
        let mut state = State::new();
        for (record, offset) in self.records.iter().zip(0..) {
            state.apply(Offset(offset), record).unwrap();
        }
        state
    }
}

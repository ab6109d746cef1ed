//! The load of the whole fleet, as each VM knows it: what all VMs together run on each engine, what
//! callers ask for by priority and customer, and which returns were promised to refused callers.
//!
//! A single VM of a large fleet has zero or one request on an engine, which says nothing of the
//! engine's load. So each VM reports what it has in progress to a hub, hubs exchange their sums, and
//! each VM gets the total ten times a second (docs/design/room.md).

mod exchange;

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;

pub use self::exchange::Exchange;
pub use self::exchange::LoadError;
pub use self::exchange::LoadMessage;
pub use self::exchange::REPORT_INTERVAL;

/// Identifies a name in messages. After a collision two names share an entry, so that both look more
/// loaded than they are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NameHash(u32);

impl NameHash {
    /// Stands for the customers of a class that are not listed one by one, see [`Load::limit_customers`]. A name
    /// with this hash would share the entry.
    pub const OTHERS: Self = Self(u32::MAX);

    /// Returns the hash of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish() as u32)
    }
}

/// What runs on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The requests whose path has the engine in it.
    pub running: u32,
    /// Those of them whose path begins at the engine.
    pub leading: u32,
    /// The tokens of these requests times the layers that they use.
    pub cells: u64,
}

/// The callers whose load is counted together.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClassKey {
    /// The service that they call.
    pub service: NameHash,
    /// The priority of their requests, 0 highest.
    pub priority: u8,
    /// The customer; the default for requests without one.
    pub customer: NameHash,
}

impl ClassKey {
    /// Returns the key of the class's customers that are not listed one by one.
    #[must_use]
    pub fn others(&self) -> Self {
        Self {
            customer: NameHash::OTHERS,
            ..*self
        }
    }
}

/// What the callers of a class ask for and have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassLoad {
    /// The size of the new requests that arrive each second, admitted or not, in tokens. Those that
    /// come back after a refusal are counted in [`Load::returns`].
    pub offered: u32,
    /// The size of the requests in progress, in the same unit.
    pub held: u32,
    /// The size of the requests that wait for room, in the same unit.
    pub waiting: u32,
}

impl ClassLoad {
    fn add(&mut self, other: &Self) {
        self.offered = self.offered.saturating_add(other.offered);
        self.held = self.held.saturating_add(other.held);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }
}

/// Identifies the promised returns of a class in one span of time. VMs have no common clock, so
/// [`Self::slot`] counts spans of [`RETURN_SLOT_MS`] since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReturnKey {
    /// The service that the callers were refused by, with the priority of their class.
    pub service: NameHash,
    /// The span of time in which they were told to come back.
    pub slot: u64,
}

/// The most customers, over all classes, that are listed in what VMs tell each other. Each takes up to 20 bytes, and
/// a datagram of 65,507 holds the load of thousands of engines too.
pub const MAX_CUSTOMERS: usize = 512;

/// The length of a [`ReturnKey::slot`], in milliseconds.
pub const RETURN_SLOT_MS: u64 = 250;

/// The load of one VM, or the sum over several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// What runs on each engine, by the hash of its name.
    pub engines: BTreeMap<NameHash, EngineLoad>,
    /// What each class asks for and has.
    pub classes: BTreeMap<ClassKey, ClassLoad>,
    /// The size of the requests whose callers were told to come back, in tokens or plain requests.
    pub returns: BTreeMap<ReturnKey, u32>,
}

impl Load {
    /// Adds another load to this one.
    pub fn add(&mut self, other: &Self) {
        for (engine, load) in &other.engines {
            let sum = self.engines.entry(*engine).or_default();
            sum.running = sum.running.saturating_add(load.running);
            sum.leading = sum.leading.saturating_add(load.leading);
            sum.cells = sum.cells.saturating_add(load.cells);
        }
        self.add_callers(other);
    }

    /// Returns what callers ask for and were promised, without the load of engines.
    #[must_use]
    pub fn callers(&self) -> Self {
        Self {
            engines: BTreeMap::new(),
            classes: self.classes.clone(),
            returns: self.returns.clone(),
        }
    }

    /// Adds what callers ask for and were promised by another load to this one.
    pub fn add_callers(&mut self, other: &Self) {
        for (class, load) in &other.classes {
            self.classes.entry(*class).or_default().add(load);
        }
        for (key, size) in &other.returns {
            let sum = self.returns.entry(*key).or_default();
            *sum = sum.saturating_add(*size);
        }
    }

    /// Counts all but the [`MAX_CUSTOMERS`] entries that ask for most together, in one entry of their class under
    /// [`NameHash::OTHERS`].
    ///
    /// This answers a load of thousands of customers at once. All of them would not fit a datagram, so that VMs
    /// knew nothing of each other, and each request would read all of them. Who asks for little gets it
    /// all when room is short, so nothing is decided on each of them.
    pub fn limit_customers(&mut self) {
        let listed = |key: &ClassKey| key.customer != NameHash::OTHERS;
        let mut ranks: Vec<(u32, ClassKey)> = self
            .classes
            .iter()
            .filter(|(key, _)| listed(key))
            .map(|(key, load)| (load.offered, *key))
            .collect();
        if ranks.len() <= MAX_CUSTOMERS {
            return;
        }
        let index = ranks.len() - MAX_CUSTOMERS;
        let least_kept = *ranks.select_nth_unstable(index).1;
        let mut others: BTreeMap<ClassKey, ClassLoad> = BTreeMap::new();
        self.classes.retain(|key, load| {
            let is_kept = !listed(key) || (load.offered, *key) >= least_kept;
            if !is_kept {
                others.entry(key.others()).or_default().add(load);
            }
            is_kept
        });
        for (key, load) in others {
            self.classes.entry(key).or_default().add(&load);
        }
    }

    /// Subtracts a load that was added to this one before; what would become negative becomes 0.
    pub fn subtract(&mut self, other: &Self) {
        for (engine, load) in &other.engines {
            if let Some(sum) = self.engines.get_mut(engine) {
                sum.running = sum.running.saturating_sub(load.running);
                sum.leading = sum.leading.saturating_sub(load.leading);
                sum.cells = sum.cells.saturating_sub(load.cells);
            }
        }
        for (class, load) in &other.classes {
            let listed = if self.classes.contains_key(class) {
                *class
            } else {
                class.others()
            };
            if let Some(sum) = self.classes.get_mut(&listed) {
                sum.offered = sum.offered.saturating_sub(load.offered);
                sum.held = sum.held.saturating_sub(load.held);
                sum.waiting = sum.waiting.saturating_sub(load.waiting);
            }
        }
        for (key, size) in &other.returns {
            if let Some(sum) = self.returns.get_mut(key) {
                *sum = sum.saturating_sub(*size);
            }
        }
    }
}

//! What a run does: who calls what, how often, and which faults are switched on when.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::error::BenchError;
use crate::clock::Millis;
use crate::names::ServiceName;
use crate::names::Team;

/// A run of the load tool.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name that the report carries.
    pub name: String,
    /// The seed of arrivals and contents.
    #[serde(default)]
    pub seed: u64,
    /// How long requests arrive.
    pub span: Millis,
    /// The first part of `span`, whose requests are made but not counted.
    #[serde(default)]
    pub warmup: Millis,
    /// The addresses that the caller starts from.
    pub entries: Vec<SocketAddr>,
    /// Whether to ask `/v1/addresses` and follow its answers.
    #[serde(default)]
    pub discover: bool,
    /// The number of closed loops for each class; 0 for open-loop arrivals.
    #[serde(default)]
    pub loops: usize,
    /// How long a caller waits for an answer.
    #[serde(default = "patience")]
    pub patience: Millis,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plain stand-ins whose effects are counted at the end.
    #[serde(default)]
    pub effects: Vec<SocketAddr>,
    /// The faults to switch on.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

const fn patience() -> Millis {
    Millis::seconds(30)
}

/// Requests of one kind by one team.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The calling team.
    pub team: Team,
    /// Its bearer token; stand-ins only, so it is no secret.
    #[serde(default)]
    pub token: String,
    /// The mean arrivals a second; not used by closed loops.
    #[serde(default)]
    pub rate: f64,
    /// How often a refused or broken request is made again.
    #[serde(default = "retries")]
    pub retries: u32,
    /// What is asked for.
    pub work: Work,
}

const fn retries() -> u32 {
    2
}

/// What a request asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Work {
    /// An idempotent call.
    Plain {
        /// The whole path.
        path: String,
    },
    /// A call with an idempotency key.
    Keyed {
        /// The whole path.
        path: String,
    },
    /// A completion.
    Completion(Completion),
}

/// A request for tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Completion {
    /// The model.
    pub model: ServiceName,
    /// The number of its layers, by which answers are checked.
    pub layers: u32,
    /// The number of the prompt's tokens.
    pub prompt: usize,
    /// The most tokens to give.
    pub tokens: usize,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
}

/// A fault to switch on at a stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// When, after the first arrival.
    pub at: Millis,
    /// The stand-in.
    pub addr: SocketAddr,
    /// The JSON body of its `PUT /faults`.
    pub body: String,
}

impl Scenario {
    /// Reads a scenario from YAML.
    ///
    /// # Errors
    ///
    /// Fails if the text is no YAML of the expected form; the error names the line.
    pub fn parse(text: &str) -> Result<Self, BenchError> {
        serde_saphyr::from_str(text).map_err(|error| BenchError::Scenario(Box::new(error)))
    }
}

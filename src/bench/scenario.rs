//! The scenario of a run: which requests are sent at which rate, and which faults are injected.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::error::BenchError;
use crate::clock::Millis;
use crate::names::ServiceName;
use crate::names::Team;

/// The scenario of a run, read from a YAML file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A name to identify the run in its report.
    pub name: String,
    /// The seed of arrivals and contents.
    #[serde(default)]
    pub seed: u64,
    /// For how long new requests are sent.
    pub span: Millis,
    /// The first part of `span`; its requests are sent but not counted.
    #[serde(default)]
    pub warmup: Millis,
    /// The addresses of daemons to send requests to, or to discover others from.
    pub entries: Vec<SocketAddr>,
    /// Whether to fetch the addresses to use from `/v1/addresses`.
    #[serde(default)]
    pub discover: bool,
    /// The number of closed loops per class; 0 for open-loop arrivals.
    #[serde(default)]
    pub loops: usize,
    /// The timeout of a request, including its retries.
    #[serde(default = "patience")]
    pub patience: Millis,
    /// The classes of requests to send concurrently.
    pub classes: Vec<Class>,
    /// The plain stand-ins whose effects are checked at the end.
    #[serde(default)]
    pub effects: Vec<SocketAddr>,
    /// The faults to inject during the run.
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
    /// The team's bearer token. It is not secret, as runs use stand-ins only.
    #[serde(default)]
    pub token: String,
    /// The mean number of arrivals per second; ignored by closed loops.
    #[serde(default)]
    pub rate: f64,
    /// The maximum number of retries of a request.
    #[serde(default = "retries")]
    pub retries: u32,
    /// The kind of request to send.
    pub work: Work,
}

const fn retries() -> u32 {
    2
}

/// The kind of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Work {
    /// A GET request to a plain service.
    Plain {
        /// The full path of the request.
        path: String,
    },
    /// A POST request to a plain service with an idempotency key.
    Keyed {
        /// The full path of the request.
        path: String,
    },
    /// A completion by a model.
    Completion(Completion),
}

/// The parameters of a completion request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Completion {
    /// The name of the model's service.
    pub model: ServiceName,
    /// The number of the model's layers, needed to compute the expected answer.
    pub layers: u32,
    /// The length of the prompt in tokens.
    pub prompt: usize,
    /// The maximum number of tokens in the answer.
    pub tokens: usize,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A fault to inject into a stand-in at a given time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// When to inject it, from the start of the run.
    pub at: Millis,
    /// The stand-in's address.
    pub addr: SocketAddr,
    /// The JSON body of its `PUT /faults`.
    pub body: String,
}

impl Scenario {
    /// Parses a scenario from YAML.
    ///
    /// # Errors
    ///
    /// Fails if the text is not YAML of the expected form; the error names the line.
    pub fn parse(text: &str) -> Result<Self, BenchError> {
        serde_saphyr::from_str(text).map_err(|error| BenchError::Scenario(Box::new(error)))
    }
}

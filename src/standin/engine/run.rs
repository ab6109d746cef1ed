//! Runs the steps of a hop and streams the replies.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

use super::Shared;
use super::State;
use super::kv::Entry;
use super::kv::Key;
use super::model::Activation;
use super::serve::BoxedConn;
use super::serve::Reply;
use super::take_one;
use crate::core::daemon::LoadReport;
use crate::core::session::wire::HOP_HEADER;
use crate::core::session::wire::Hop;
use crate::core::session::wire::HopError;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::Input;
use crate::core::session::wire::Output;
use crate::core::session::wire::Refusal;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;

/// The header that carries the load report.
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");
/// New sessions are refused while more hops wait than fill this many batches.
const MAX_QUEUED_BATCHES: usize = 4;

/// The input of the next step of an admitted hop.
#[derive(Debug)]
struct Step {
    key: Key,
    entry: Entry,
    start: Activation,
    positions: u32,
}

/// Runs one hop and streams its replies.
pub(super) async fn hop(
    state: &Shared,
    request: &Request,
    mut conn: BoxedConn,
) -> (BoxedConn, Reply) {
    let Ok(hop) = serde_json::from_slice::<Hop>(&request.body) else {
        return (conn, refuse(Refusal::Bad, None));
    };
    let step = match state.borrow_mut().admit(&hop) {
        Ok(step) => step,
        Err(refusal) => return (conn, refuse(refusal, Some(&hop))),
    };
    let key = step.key;
    state.borrow_mut().running_attempts.insert(key);
    let reply = stream(state, &hop, step, &mut conn)
        .await
        .unwrap_or(Reply::Close);
    state.borrow_mut().running_attempts.remove(&key);
    (conn, reply)
}

fn refuse(error: Refusal, hop: Option<&Hop>) -> Reply {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let body = HopError {
        error,
        message: error.to_string(),
    };
    let mut response = Response::json(status, &body);
    let name = hop.map(|hop| HeaderValue::try_from(hop.name()));
    if let Some(Ok(name)) = name {
        response
            .headers
            .insert(HeaderName::from_static(HOP_HEADER), name);
    }
    Reply::Response(response)
}

/// Returns response headers with the load report.
fn load_headers(report: &LoadReport) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let text = serde_json::to_string(report).unwrap_or_default();
    if let Ok(value) = HeaderValue::try_from(text) {
        headers.insert(LOAD_HEADER, value);
    }
    headers
}

async fn stream(
    state: &Shared,
    hop: &Hop,
    mut step: Step,
    conn: &mut BoxedConn,
) -> Result<Reply, HttpError> {
    let headers = load_headers(&state.borrow_mut().report());
    conn.writer.start(StatusCode::OK, &headers).await?;
    for index in 0..hop.steps.max(1) {
        let boot = state.borrow().boot;
        let (batch, delay) = {
            let state = state.borrow();
            (state.batch.clone(), state.faults.delay)
        };
        batch.run(step.positions, delay).await;
        if state.borrow().boot != boot || !state.borrow().running_attempts.contains(&step.key) {
            return Ok(Reply::Close);
        }
        let end = step.start.apply_layers(hop.layers.to);
        let (reply, last) = state
            .borrow_mut()
            .finish_step(hop, hop.token + index, &mut step, end);
        if let Some(fault) = take_fault(state) {
            return Ok(fault);
        }
        send_reply(state, conn, reply).await?;
        if last {
            break;
        }
    }
    conn.writer.finish().await?;
    Ok(Reply::Streamed)
}

fn take_fault(state: &Shared) -> Option<Reply> {
    let mut state = state.borrow_mut();
    if take_one(&mut state.faults.silence) {
        return Some(Reply::NoAnswer);
    }
    take_one(&mut state.faults.lose).then_some(Reply::Close)
}

async fn send_reply(
    state: &Shared,
    conn: &mut BoxedConn,
    mut reply: HopReply,
) -> Result<(), HttpError> {
    if take_one(&mut state.borrow_mut().faults.cross) {
        reply.attempt += 1;
    }
    let Ok(mut line) = serde_json::to_vec(&reply) else {
        return Err(HttpError::Malformed);
    };
    line.push(b'\n');
    if take_one(&mut state.borrow_mut().faults.double) {
        conn.writer.chunk(&line).await?;
    }
    conn.writer.chunk(&line).await
}

impl State {
    fn admit(&mut self, hop: &Hop) -> Result<Step, Refusal> {
        let held = self.engine.layers;
        if hop.layers.from < held.from || hop.layers.to > held.to {
            return Err(Refusal::Bad);
        }
        if take_one(&mut self.faults.refuse) {
            return Err(Refusal::Unrun);
        }
        let key = Key {
            session: hop.session,
            attempt: hop.attempt,
        };
        if self.cache.get(&key).is_none() {
            let queue = self.batch.waiting() as usize;
            if self.faults.leaving || queue > MAX_QUEUED_BATCHES * self.engine.slots {
                return Err(Refusal::Unrun);
            }
        }
        let step = self.prepare_step(key, hop)?;
        self.ledger.hops += 1;
        Ok(step)
    }

    fn prepare_step(&mut self, key: Key, hop: &Hop) -> Result<Step, Refusal> {
        match &hop.input {
            Input::Prompt { tokens } => {
                if self.faults.has_poison(tokens) {
                    self.crash();
                }
                let positions = tokens.len() as u32;
                let entry = Entry::new(hop.token, tokens.clone());
                let start = Activation::embed(hop.seed, hop.token, tokens);
                Ok(Step {
                    key,
                    entry,
                    start,
                    positions,
                })
            }
            Input::Token { value } => {
                let mut entry = self.take_entry(key, hop)?;
                entry.tokens.push(*value);
                let start = Activation::embed(hop.seed, hop.token, &entry.tokens);
                Ok(Step {
                    key,
                    entry,
                    start,
                    positions: 0,
                })
            }
            Input::State { data, positions } => {
                let start: Activation = data.parse().map_err(|_| Refusal::Bad)?;
                if start.layer != hop.layers.from {
                    self.ledger.misplaced += 1;
                    return Err(Refusal::Bad);
                }
                self.continue_from_state(key, hop, start, *positions)
            }
        }
    }

    fn continue_from_state(
        &mut self,
        key: Key,
        hop: &Hop,
        start: Activation,
        positions: u32,
    ) -> Result<Step, Refusal> {
        let first = positions > 1 || hop.token == 0;
        if first && self.cache.get(&key).is_none() {
            let entry = Entry::new(hop.token, Vec::new());
            return Ok(Step {
                key,
                entry,
                start,
                positions,
            });
        }
        let entry = self.take_entry(key, hop)?;
        Ok(Step {
            key,
            entry,
            start,
            positions: 0,
        })
    }

    /// Removes the attempt's entry from the cache if `hop` requests its next token. An earlier token
    /// is refused, because each token may be requested only once.
    fn take_entry(&mut self, key: Key, hop: &Hop) -> Result<Entry, Refusal> {
        let next = self.cache.get(&key).map(|entry| entry.next);
        match next {
            Some(next) if next == hop.token => self.cache.remove(&key).ok_or(Refusal::Lost),
            Some(next) if next > hop.token => {
                self.ledger.repeats += 1;
                Err(Refusal::Bad)
            }
            _ => {
                self.ledger.lost += 1;
                Err(Refusal::Lost)
            }
        }
    }

    /// Stores the result of a step, and returns its reply and whether it is the last of the hop.
    fn finish_step(
        &mut self,
        hop: &Hop,
        token: u32,
        step: &mut Step,
        end: Activation,
    ) -> (HopReply, bool) {
        self.ledger.steps += 1;
        let is_last_layer = hop.layers.to == self.engine.total;
        let output = if is_last_layer {
            Output::Token {
                value: end.token(),
                end: end.ends(),
            }
        } else {
            Output::State {
                data: end.to_string(),
            }
        };
        step.entry.next = token + 1;
        step.entry.positions += (step.positions as usize).max(1);
        self.cache.put(step.key, step.entry.clone());
        let reply = HopReply {
            session: hop.session,
            attempt: hop.attempt,
            token,
            layers: hop.layers,
            output,
        };
        let last = token + 1 >= hop.token + hop.steps.max(1) || (is_last_layer && end.ends());
        if !last {
            step.positions = 0;
            step.entry.tokens.push(end.token());
            step.start = Activation::embed(hop.seed, token + 1, &step.entry.tokens);
        }
        (reply, last)
    }
}

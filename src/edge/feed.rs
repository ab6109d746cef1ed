//! Keeps the configuration and the endpoints up to date from the store; [`super::news`] does so from
//! other VMs.

use super::dialect::KeyedRecord;
use super::dialect::Tail;
use super::startup;
use super::startup::Step;
use super::state::Edge;
use super::store::StoreError;
use crate::clock::Millis;
use crate::core::position::Position;
use crate::core::roster::Change;
use crate::core::site::OfferResult;
use crate::core::site::SiteConfig;
use crate::names::EndpointName;

/// The part of the bound on applying changes that is reserved for a read of the store, for when
/// this VM knows of no other VM that reads it.
const READ_MARGIN: Millis = Millis(600);
/// How often a VM that does not read the store checks whether it should.
const IDLE_INTERVAL: Millis = Millis(100);
/// The pause between two reads of the endpoints, whose entries change often.
const ENDPOINT_READ_PAUSE: Millis = Millis(250);
/// Follows the configuration in the store and applies its changes.
pub async fn follow_config(edge: Edge) {
    let topic = edge.dialect().topics.operator;
    follow(edge, topic, Millis(0), apply_config).await;
}

/// Follows the endpoints' entries in the store and applies their changes.
pub async fn follow_endpoints(edge: Edge) {
    let topic = edge.dialect().topics.endpoints;
    follow(edge, topic, ENDPOINT_READ_PAUSE, apply_entries).await;
}

/// Follows a topic: reads the newest record of each key, then new records while this VM is one of
/// those that read the store.
///
/// `apply` gets the records, the position after them, and whether they are the whole topic.
async fn follow<F>(edge: Edge, topic: &'static str, pause: Millis, apply: F)
where
    F: Fn(&Edge, Vec<KeyedRecord>, Position, bool),
{
    let mut from: Option<Position> = None;
    let mut failures = 0;
    let limit = edge.settings().bounds.apply() - READ_MARGIN;
    // Gossip tells the other VMs of each answer of the store, so the wait is well under the limit.
    let wait = Millis(limit.0 / 2);
    let is_endpoints = topic != edge.dialect().topics.operator;
    loop {
        if failures > 0
            && from.is_some()
            && is_endpoints
            && !edge.fleet(|fleet| fleet.me().has_store)
        {
            // One call that fails is enough to know that the store is still unavailable: that of
            // the configuration's task.
            monoio::time::sleep(IDLE_INTERVAL.duration()).await;
            continue;
        }
        if from.is_some() && !edge.fleet(|fleet| fleet.should_read(edge.now(), limit)) {
            monoio::time::sleep(IDLE_INTERVAL.duration()).await;
            continue;
        }
        let read = match from {
            None => edge.store().newest(topic).await.map(|(records, end)| {
                apply(&edge, records, end, true);
                Some(end)
            }),
            Some(offset) => edge
                .store()
                .tail(topic, offset, wait)
                .await
                .map(|tail| match tail {
                    Tail::Records(records, next) => {
                        if !records.is_empty() {
                            apply(&edge, records, next, false);
                        }
                        Some(next)
                    }
                    Tail::Truncated => None,
                }),
        };
        match read {
            Ok(next) => {
                if failures > 0 {
                    log::info!(dependency = "store", topic, offset:% = next.unwrap_or_default(); "regained");
                    edge.roster(|roster| roster.record_store_return(edge.now()));
                }
                failures = 0;
                from = next;
                edge.mark_store_up();
                edge.metrics().count_store_call("answered");
                edge.startup().count_call(true);
                if pause > Millis(0) {
                    monoio::time::sleep(pause.duration()).await;
                }
            }
            Err(error) => {
                if failures == 0 {
                    log_loss(topic, from, &error);
                }
                if error.is_unreadable() {
                    // The records from here on stay unreadable; the list may not have them.
                    from = None;
                }
                failures += 1;
                edge.metrics().count_store_call("failed");
                edge.startup().count_call(false);
                edge.mark_store_down();
                let span = edge.fleet(|fleet| fleet.retry_delay(edge.now(), failures));
                monoio::time::sleep(span.duration()).await;
            }
        }
    }
}

fn log_loss(topic: &str, from: Option<Position>, error: &StoreError) {
    log::warn!(dependency = "store", topic, offset:% = from.unwrap_or_default(), error:% = error; "lost");
}

fn apply_config(edge: &Edge, records: Vec<KeyedRecord>, _end: Position, _whole: bool) {
    for record in records {
        if record.key != edge.dialect().topics.config_key {
            continue;
        }
        let Some(value) = record.value else {
            continue;
        };
        match (edge.dialect().parse_site)(&value) {
            Ok(site) => accept(edge, site, "store", record.offset),
            Err(error) => {
                log::warn!(offset:% = record.offset, error:% = error; "config_refused");
            }
        }
    }
}

/// Applies a configuration if it is newer than the one in force.
fn accept(edge: &Edge, site: SiteConfig, source: &'static str, offset: Position) {
    let offer = edge.accepted(|accepted| accepted.offer(site));
    announce_config(edge, offer, source, offset);
}

/// Logs a configuration that was just applied, and announces it to the other VMs.
pub(super) fn announce_config(
    edge: &Edge,
    offer: OfferResult,
    source: &'static str,
    offset: Position,
) {
    let Some(site) = edge.site().filter(|_| offer == OfferResult::Applied) else {
        return;
    };
    log::info!(version = site.version, offset:% = offset, routes = site.routes.len(), source; "config_in_force");
    startup::record(edge, Step::Config, source);
    edge.fleet(|fleet| fleet.me().version = site.version);
    let exists = |name: &str| site.routes.iter().any(|route| route.name == name);
    edge.admission(|controller| controller.retain_routes(exists));
    edge.streams(|streams| streams.retain_routes(exists));
    edge.trigger_gossip();
}

fn apply_entries(edge: &Edge, records: Vec<KeyedRecord>, end: Position, whole: bool) {
    let now = edge.now();
    expect_rewrites(edge, end);
    let listed: Vec<EndpointName> = if whole {
        records
            .iter()
            .map(|record| record.key.as_str().into())
            .collect()
    } else {
        Vec::new()
    };
    let mut news = whole;
    for record in records {
        let endpoint = EndpointName::from(record.key.as_str());
        let entry = record
            .value
            .map(|value| (edge.dialect().parse_entry)(&endpoint, &value));
        let entry = match entry.transpose() {
            Ok(entry) => {
                edge.roster(|roster| roster.accept_entry(&endpoint));
                entry
            }
            Err(error) => {
                if edge.roster(|roster| roster.refuse_entry(&endpoint)) {
                    log::warn!(endpoint:% = endpoint, offset:% = record.offset, error:% = error; "entry_refused");
                }
                None
            }
        };
        let change = Change {
            endpoint,
            offset: record.offset,
            entry,
        };
        news |= apply_change(edge, now, change);
    }
    if whole {
        let gone = edge.roster(|roster| roster.removals(&listed, end));
        for change in gone {
            apply_change(edge, now, change);
        }
    }
    edge.roster(|roster| {
        if whole {
            roster.record_full_list(end);
        }
        roster.sweep(now);
    });
    if news {
        announce_endpoints(edge, end, "store");
    }
}

/// Records that the endpoints' changes before offset `end` were applied, and announces that to the
/// other VMs.
pub(super) fn announce_endpoints(edge: &Edge, end: Position, source: &'static str) {
    startup::record(edge, Step::Endpoints, source);
    let end = edge.roster(|roster| {
        roster.advance(end);
        roster.end()
    });
    edge.fleet(|fleet| fleet.me().roster_end = end);
    edge.trigger_gossip();
}

/// Records that the store came back if `end` is of a later era than what is known of the endpoints:
/// entries that its older copy lacks are written again soon, so they are used for a while.
pub(super) fn expect_rewrites(edge: &Edge, end: Position) {
    let known = edge.roster(|roster| roster.end());
    if known > Position::default() && end.era() > known.era() {
        log::warn!(offset:% = end, known:% = known; "endpoints_of_new_era");
        edge.roster(|roster| roster.record_store_return(edge.now()));
    }
}

/// Applies a change of an endpoint's entry; returns whether it changed anything.
pub(super) fn apply_change(edge: &Edge, now: Millis, change: Change) -> bool {
    let endpoint = change.endpoint.clone();
    let offset = change.offset;
    let state = match &change.entry {
        None => "gone",
        Some(entry) if entry.leaving => "leaving",
        Some(_) => "ready",
    };
    let span = change.entry.as_ref().and_then(|entry| entry.span);
    let before = edge.roster(|roster| roster.state_label(&endpoint));
    let news = edge.roster(|roster| roster.apply(now, change));
    if news && before != Some((state, span)) {
        let from = span.map_or(0, |span| span.from);
        let to = span.map_or(0, |span| span.to);
        log::info!(endpoint:% = endpoint, offset:% = offset, state, from, to; "endpoint_changed");
    }
    news
}

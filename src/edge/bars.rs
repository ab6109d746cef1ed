//! Barred requests and parts of prompts in the store, for VMs that start when no other VM is left
//! that knows them (docs/operators/barred-requests.md).

use serde::Serialize;

use super::parts;
use super::state::Edge;
use super::suspect;
use crate::clock::Millis;
use crate::core::poison::BAR_TTL;
use crate::core::poison::PartDigest;
use crate::core::poison::PartRecord;
use crate::core::poison::RequestDigest;
use crate::core::poison::SuspectGossip;
use crate::core::poison::SuspectRecord;

/// The pause between two attempts to write a bar or to read all.
const RETRY_DELAY: Millis = Millis::seconds(2);
/// How long the bar of a content waits before it is written. Other VMs' crash records arrive within
/// that time.
const PUBLISH_DELAY: Millis = Millis(500);
/// What the keys of parts begin with; those of contents are hexadecimal.
const PART_PREFIX: &str = "part-";

/// Writes the bar of a content that this VM found to the store, until that succeeds or the bar ends.
pub async fn publish(edge: Edge, content: RequestDigest) {
    // The bar may end at once, if a part of a prompt explains the crashes.
    monoio::time::sleep(PUBLISH_DELAY.duration()).await;
    let record = || {
        suspect::barred_for(&edge, &content)?;
        Some(edge.suspects(|suspects| suspects.record(&content)))
    };
    write(&edge, &content.to_string(), record).await;
}

/// Writes the bar of a part that this VM found to the store, until that succeeds or the bar ends.
pub async fn publish_part(edge: Edge, part: PartDigest) {
    let record = || {
        let now = edge.now();
        edge.parts(|table| {
            table.barred_for(now, part)?;
            table.record(part)
        })
    };
    write(&edge, &part_key(part), record).await;
}

/// Writes a record under a key of the bars' topic, until that succeeds or there is no record.
async fn write<F, T>(edge: &Edge, key: &str, record: F)
where
    F: Fn() -> Option<T>,
    T: Serialize,
{
    let topic = edge.dialect().topics.bars;
    while let Some(record) = record() {
        let value = match postcard::to_stdvec(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(key, error:% = error; "bar_not_encoded");
                return;
            }
        };
        match edge.store().append(topic, key, &value).await {
            Ok(offset) => {
                log::info!(key, offset:% = offset; "bar_published");
                return;
            }
            Err(error) => log::warn!(key, error:% = error; "bar_not_published"),
        }
        monoio::time::sleep(RETRY_DELAY.duration()).await;
    }
}

fn part_key(part: PartDigest) -> String {
    format!("{PART_PREFIX}{part}")
}

/// Writes all bars again whenever the store came back from an older copy, which may lack them. The
/// leader does so, since every VM knows the bars.
pub async fn restore(edge: Edge) {
    let mut era = edge.store_era();
    loop {
        monoio::time::sleep(RETRY_DELAY.duration()).await;
        let now = edge.now();
        let newest = edge.store_era();
        if newest == era {
            continue;
        }
        era = newest;
        if edge.fleet(|fleet| fleet.is_leader(now)) {
            let barred = edge.suspects(|suspects| suspects.barred(now));
            let parts: Vec<PartDigest> = edge.parts(|table| table.barred().collect());
            log::info!(era, bars = barred.len(), parts = parts.len(); "bars_restored");
            for content in barred {
                monoio::spawn(publish(edge.clone(), content));
            }
            for part in parts {
                monoio::spawn(publish_part(edge.clone(), part));
            }
        }
    }
}

/// Reads the bars after a start, until that succeeds, and deletes those that have ended.
pub async fn read(edge: Edge) {
    let topic = edge.dialect().topics.bars;
    loop {
        match edge.store().newest(topic).await {
            Ok((records, offset)) => {
                log::info!(bars = records.len(), offset:% = offset; "bars_read");
                for record in records {
                    if let Some(value) = record.value {
                        apply(&edge, &record.key, &value).await;
                    }
                }
                return;
            }
            Err(error) => log::warn!(error:% = error; "bars_not_read"),
        }
        monoio::time::sleep(RETRY_DELAY.duration()).await;
    }
}

/// Adds a bar from the store, or deletes it there if it has ended. One that cannot be read is kept,
/// since it may be that of a later release.
async fn apply(edge: &Edge, key: &str, value: &[u8]) {
    if key.starts_with(PART_PREFIX) {
        return apply_part(edge, key, value).await;
    }
    match postcard::from_bytes::<SuspectRecord>(value) {
        Ok(record) if record.entry.newest() + BAR_TTL <= edge.now() => delete(edge, key).await,
        Ok(record) => {
            let records = vec![record];
            suspect::receive(edge, SuspectGossip { records }, "store");
        }
        Err(error) => log::warn!(key, error:% = error; "bar_not_read"),
    }
}

async fn apply_part(edge: &Edge, key: &str, value: &[u8]) {
    match postcard::from_bytes::<PartRecord>(value) {
        Ok(record) if record.history.newest() + BAR_TTL <= edge.now() => delete(edge, key).await,
        Ok(record) => parts::receive(edge, vec![record], "store"),
        Err(error) => log::warn!(key, error:% = error; "bar_not_read"),
    }
}

/// Deletes the bar of a part that survived a later run, so that VMs that start do not apply it.
pub async fn withdraw_part(edge: Edge, part: PartDigest) {
    delete(&edge, &part_key(part)).await;
}

/// Deletes the bar of a content whose later run completed, so that VMs that start do not apply it.
pub async fn withdraw(edge: Edge, content: RequestDigest) {
    delete(&edge, &content.to_string()).await;
}

async fn delete(edge: &Edge, key: &str) {
    let topic = edge.dialect().topics.bars;
    match edge.store().append(topic, key, &[]).await {
        Ok(offset) => log::info!(key, offset:% = offset; "bar_deleted"),
        Err(error) => log::warn!(key, error:% = error; "bar_not_deleted"),
    }
}

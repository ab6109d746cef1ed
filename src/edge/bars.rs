//! Barred requests in the store, for VMs that start when no other VM is left that knows them
//! (docs/operators/barred-requests.md).

use super::state::Edge;
use super::suspect;
use crate::clock::Millis;
use crate::core::poison::BAR_TTL;
use crate::core::poison::RequestDigest;
use crate::core::poison::SuspectGossip;
use crate::core::poison::SuspectRecord;

/// The pause between two attempts to write a bar or to read all.
const RETRY_DELAY: Millis = Millis::seconds(2);

/// Writes a bar that this VM found to the store, until that succeeds or the bar ends.
pub async fn publish(edge: Edge, content: RequestDigest) {
    let topic = edge.dialect().topics.bars;
    while suspect::barred_for(&edge, &content).is_some() {
        let record = edge.suspects(|suspects| suspects.record(&content));
        let value = match postcard::to_stdvec(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(content = content.short(), error:% = error; "bar_not_encoded");
                return;
            }
        };
        match edge
            .store()
            .append(topic, &content.to_string(), &value)
            .await
        {
            Ok(offset) => {
                log::info!(content = content.short(), offset:% = offset; "bar_published");
                return;
            }
            Err(error) => {
                log::warn!(content = content.short(), error:% = error; "bar_not_published");
            }
        }
        monoio::time::sleep(RETRY_DELAY.duration()).await;
    }
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
            log::info!(era, bars = barred.len(); "bars_restored");
            for content in barred {
                monoio::spawn(publish(edge.clone(), content));
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
    match postcard::from_bytes::<SuspectRecord>(value) {
        Ok(record) if record.entry.newest() + BAR_TTL <= edge.now() => delete(edge, key).await,
        Ok(record) => {
            let records = vec![record];
            suspect::receive(edge, SuspectGossip { records }, "store");
        }
        Err(error) => log::warn!(content = key, error:% = error; "bar_not_read"),
    }
}

/// Deletes the bar of a content whose later run completed, so that VMs that start do not apply it.
pub async fn withdraw(edge: Edge, content: RequestDigest) {
    delete(&edge, &content.to_string()).await;
}

async fn delete(edge: &Edge, key: &str) {
    let topic = edge.dialect().topics.bars;
    match edge.store().append(topic, key, &[]).await {
        Ok(offset) => log::info!(content = key, offset:% = offset; "bar_deleted"),
        Err(error) => log::warn!(content = key, error:% = error; "bar_not_deleted"),
    }
}

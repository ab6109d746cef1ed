//! Appends to and reads of the platform's log, on behalf of the core.

use crate::core::daemon::AppendId;
use crate::core::daemon::Event;
use crate::core::daemon::LogStream;
use crate::core::daemon::ReadId;
use crate::core::daemon::ReadResult;
use crate::core::sync::message::Batch;
use crate::core::sync::message::Record;

use super::platform::PlatformError;
use super::platform::Read;
use super::platform::wire::Page;
use super::shell::Shell;

/// Appends a record and feeds the outcome to the core.
pub async fn append(shell: Shell, append: AppendId, record: Vec<u8>) {
    let name = stream_name(append.stream());
    let event = match shell.platform().append(&name, record).await {
        Ok(appended) => Event::Appended {
            append,
            offset: appended.offset,
        },
        Err(PlatformError::Refused) => Event::AppendRefused(append),
        Err(error) => {
            log::warn!(stream = name.as_str(), error:% = error; "append_lost");
            Event::AppendLost(append)
        }
    };
    shell.feed(event);
}

/// Reads a stream from an offset and feeds the result to the core.
pub async fn read(shell: Shell, read: ReadId, from: u64) {
    let name = stream_name(read.stream());
    let result = match shell.platform().read(&name, from).await {
        Ok(Read::Page(page)) => to_result(from, page),
        Ok(Read::Expired(page)) => ReadResult::Expired(page.first),
        Err(error) => {
            log::debug!(stream = name.as_str(), error:% = error; "read_failed");
            ReadResult::Failed
        }
    };
    shell.feed(Event::ReadDone { read, result });
}

fn to_result(from: u64, page: Page) -> ReadResult {
    let tail = page.next;
    let record = |stored: super::platform::wire::StoredRecord| Record {
        offset: stored.offset,
        data: stored.data.get().into(),
    };
    let records: Vec<Record> = page.records.into_iter().map(record).collect();
    let next = records.last().map_or(from, |last| last.offset + 1);
    ReadResult::Records {
        batch: Batch {
            from,
            next,
            records,
        },
        end: next >= tail,
    }
}

fn stream_name(stream: LogStream) -> String {
    match stream {
        LogStream::Config => "config".to_owned(),
        LogStream::Once(id) => format!("once-{id}"),
    }
}

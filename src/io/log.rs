//! Logging: one line of key=value pairs per event, on standard output, because the VMs have no
//! disks.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use log::LevelFilter;
use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::config::runtime::ConfigErrors;
use log4rs::encode::Encode;
use log4rs::encode::Write;

use crate::clock::Clock;

const STDOUT: &str = "stdout";

/// Why logging cannot be started.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// The logging library rejected the configuration.
    Config(ConfigErrors),
    /// Logging has already been started in this process.
    Twice(log::SetLoggerError),
}

/// Starts logging events of at least `level`, with times of `clock`.
///
/// # Errors
///
/// Fails if logging has already been started in this process.
pub fn start(clock: Clock, level: LevelFilter) -> Result<(), LogError> {
    let encoder = Box::new(KeyValueEncoder { clock });
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let appender = Appender::builder().build(STDOUT, Box::new(console));
    let root = Root::builder().appender(STDOUT).build(level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Encodes a record as key=value pairs: the time, the level, the event name, then the event's keys.
#[derive(Debug)]
struct KeyValueEncoder {
    clock: Clock,
}

impl Encode for KeyValueEncoder {
    fn encode(&self, w: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let level = record.level().as_str().to_ascii_lowercase();
        write!(
            w,
            "at={} level={level} event={}",
            self.clock.now(),
            record.args()
        )?;
        let mut visitor = Visitor { write: w };
        record.key_values().visit(&mut visitor)?;
        writeln!(visitor.write)?;
        Ok(())
    }
}

struct Visitor<'a> {
    write: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for Visitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        write_pair(self.write, key.as_str(), &text).map_err(log::kv::Error::boxed)
    }
}

/// Writes one pair. The value is quoted if it is empty or contains whitespace or a quote.
fn write_pair(write: &mut dyn Write, key: &str, text: &str) -> io::Result<()> {
    let is_plain = !text.is_empty() && text.chars().all(|c| !c.is_whitespace() && c != '"');
    if is_plain {
        write!(write, " {key}={text}")
    } else {
        write!(write, " {key}={text:?}")
    }
}

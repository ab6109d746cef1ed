//! The check of keyed calls: what callers were told against what the services counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use http::Method;
use http::Uri;
use serde::Serialize;

use crate::clock::Millis;
use crate::error::Ran;
use crate::io::http::Conn;
use crate::io::http::Request;
use crate::standin::service::Effect;

/// How long the question for effects may take.
const SPAN: Millis = Millis::seconds(10);

/// What a caller was told in the end of a keyed call.
#[derive(Clone, Debug)]
pub(super) struct KeyedCall {
    pub(super) key: String,
    pub(super) ran: Ran,
}

/// How keyed calls and effects fit.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Effects {
    /// Keyed calls.
    pub calls: u64,
    /// Keys with more than one effect.
    pub doubled: u64,
    /// Calls that were told to have run and have no effect.
    pub lost: u64,
    /// Calls that were told not to have run and have an effect.
    pub untrue: u64,
    /// Services that did not tell their effects.
    pub silent: u64,
}

impl Effects {
    /// Says whether every answer was true.
    #[must_use]
    pub const fn are_correct(&self) -> bool {
        self.doubled == 0 && self.lost == 0 && self.untrue == 0 && self.silent == 0
    }
}

/// Asks the services for their effects and holds them against what the callers were told.
pub(super) async fn check(services: &[SocketAddr], calls: &[KeyedCall]) -> Effects {
    let mut found = Effects {
        calls: calls.len() as u64,
        ..Effects::default()
    };
    let mut counts = BTreeMap::<String, u32>::new();
    for addr in services {
        match ask(*addr).await {
            Some(list) => list
                .into_iter()
                .for_each(|one| *counts.entry(one.key).or_default() += one.count),
            None => found.silent += 1,
        }
    }
    for call in calls.iter().filter(|_| !services.is_empty()) {
        let count = counts.get(&call.key).copied().unwrap_or(0);
        found.doubled += u64::from(count > 1);
        found.lost += u64::from(count == 0 && call.ran == Ran::Yes);
        found.untrue += u64::from(count > 0 && call.ran == Ran::No);
    }
    found
}

async fn ask(addr: SocketAddr) -> Option<Vec<Effect>> {
    let mut conn = Conn::dial(addr).await.ok()?;
    let request = Request::new(Method::GET, Uri::from_static("/effects"));
    conn.call(&request, SPAN).await.ok()?.parse().ok()
}

//! Checks the outcomes of keyed calls against the effects that the services counted.

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

/// The timeout of a request for a service's effects.
const SPAN: Millis = Millis::seconds(10);

/// The final outcome of a keyed call as reported to its caller.
#[derive(Clone, Debug)]
pub(super) struct KeyedCall {
    pub(super) key: String,
    pub(super) ran: Ran,
}

/// The number of keyed calls, and of those whose outcome contradicts the counted effects.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Effects {
    /// All keyed calls made, also during warm-up.
    pub calls: u64,
    /// Keys with more than one effect.
    pub doubled: u64,
    /// Calls reported as run that had no effect.
    pub lost: u64,
    /// Calls reported as not run that had an effect.
    pub untrue: u64,
    /// Services that did not return their effects.
    pub silent: u64,
}

impl Effects {
    /// Returns whether every outcome was true and every service returned its effects.
    #[must_use]
    pub const fn are_correct(&self) -> bool {
        self.doubled == 0 && self.lost == 0 && self.untrue == 0 && self.silent == 0
    }
}

/// Fetches the services' effects and compares them with the reported outcomes.
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

//! A deployment with a model, whose engines hold all layers each, and clients that read its streams.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::net;
use crate::world::*;

const MODEL: &str = "assist-llm";
/// The events of a whole stream.
const EVENTS: usize = 10;

/// Starts an engine of the model, which holds all layers, with further `flags`.
pub fn start(world: &mut World, id: &str, own: SocketAddr, zone: &'static str, flags: &[&str]) -> io::Result<()> {
    world.spawn_engine(id, own, &[&["layers=20", "from=0", "to=8", "work=100", "slots=192"], flags].concat())?;
    let more = ",\"phase\":\"all\",\"models\":[],\"routeType\":\"a100s\",\"layers\":[{\"source\":0,\"target\":8,\"version\":1}]".to_owned();
    world.write_entry(id, Entry { slots: 192, more, ..Entry::new(MODEL, own, zone) });
    Ok(())
}

/// Sends a streaming request; returns whether its stream was complete.
pub fn stream(record: &Record, front: SocketAddr, id: &str, path: &str, prompt: &str) -> bool {
    let start = Instant::now();
    let answer = (|| -> io::Result<Option<net::Message>> {
        let mut conn = net::Conn::open(front)?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        // The first part of the prompt is that of all requests, the last one is the request's own.
        let own = prompt.bytes().fold(7u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
        let body = format!("{{\"prompt\":\"{prompt}\"}}");
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 800,154\r\n\
             X-Prefix-Hash: 5c1e07a2:40,{own:08x}:760\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        conn.write(text.as_bytes())?;
        conn.message(true)
    })();
    let ms = start.elapsed().as_millis();
    match answer {
        Ok(Some(answer)) => {
            let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
            let retry = answer.header("retry-after").unwrap_or("-").to_owned();
            record.add(&format!("client  {id} to {front}: {} {events} events, whole {}, retry-after {retry}, after {ms} ms", answer.status(), answer.whole));
            answer.status() == 200 && answer.whole && events == EVENTS
        }
        other => {
            record.add(&format!("client  {id} to {front}: {other:?} after {ms} ms"));
            false
        }
    }
}

/// Returns a configuration with a model and a plain service.
pub fn config() -> String {
    let service = format!(
        "{{\"name\":\"{MODEL}\",\"healthPath\":\"/healthz\",\"maxConnections\":2292,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\
         \"slots\":192,\"kvCapacityTokens\":100000,\"kvTokenBytes\":459000,\"linkMbps\":480000.0,\"stride\":2,\
         \"models\":[{{\"name\":\"m\",\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}}],\"step_ms\":0.85,\"per_seq_ms\":0.00297,\
         \"context_per_k\":0.00398,\"read_per_s\":252000.0,\"pairs_per_m\":0.129,\"chunk\":512,\"report_lag_ms\":200.0,\
         \"loadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{{\"prompt\":772,\"answer\":154}},\"layers\":8,\
         \"layerMb\":1750.0,\"activationBytes\":22900,\"pipeMbps\":7900.0,\"types\":[{{\"name\":\"a100s\",\"sizeMb\":36000.0,\
         \"pace\":3.1,\"readFactor\":3.2}}]}}}}"
    );
    let plain = plain_config(1, &[("lookup", "/lookup/", "idempotent", 800, 2)]);
    let route = format!(
        "{{\"name\":\"assist\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/assist/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,\
         \"targetLatencyMs\":500,\"priority\":1,\"service\":\"{MODEL}\",\"maxAttempts\":2,\"public\":false,\"sessionAffinity\":true,\
         \"streamResume\":true,\"targetGapMs\":200}},"
    );
    let plain = plain.replacen("\"routes\":[", &format!("\"routes\":[{route}"), 1);
    plain.replacen("\"services\":[", &format!("\"services\":[{service},"), 1)
}

//! The platform's store, as the pages describe it: topics of keyed records with one partition.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::Conn;
use crate::net::Message;
use crate::net::base64;

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn listen(addr: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(addr)?;
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record and returns its offset; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        changed.notify_all();
        records.len() - 1
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.message(false) {
            let (status, body) = self.answer(&request);
            if conn.respond(status, &[], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let topic = request.query("topic").unwrap_or("").to_owned();
        match request.path() {
            "/v1/log-newest" => ("200 OK", self.newest(&topic)),
            "/v1/log-read" => {
                let from = request.query("source").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                ("200 OK", self.read(&topic, from, Duration::from_millis(wait)))
            }
            "/v1/log-append" => {
                let body = &request.body;
                let size = usize::from(*body.get(4).unwrap_or(&0));
                if body.len() < 5 + size {
                    return ("400 Bad Request", Vec::new());
                }
                let key = String::from_utf8_lossy(&body[5..5 + size]).into_owned();
                let offset = self.put(&topic, &key, &body[5 + size..]);
                let end = offset + 1;
                ("200 OK", format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into_bytes())
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let entries = newest.iter().map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"data\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let entries: Vec<String> = entries.collect();
        let end = records.len();
        format!("{{\"entries\":[{}],\"hasMore\":false,\"endOffset\":{end}}}", entries.join(",")).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let until = Instant::now() + wait;
        let mut topics = topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        body
    }
}

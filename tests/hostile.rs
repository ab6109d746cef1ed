//! Tests of hostile input: arbitrary bytes never panic a parser, size limits hold, and valid
//! values round-trip.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::str::FromStr;

use cornelwharf::api::CompletionKind;
use cornelwharf::api::CompletionRequest;
use cornelwharf::clock::Clock;
use cornelwharf::clock::Millis;
use cornelwharf::consts::MAX_BODY_BYTES;
use cornelwharf::consts::MAX_HEAD_BYTES;
use cornelwharf::core::config::change::Offset;
use cornelwharf::core::config::intent::Intent;
use cornelwharf::core::config::intent::MAX_INTENT_BYTES;
use cornelwharf::core::config::object::Layers;
use cornelwharf::core::config::record::Body;
use cornelwharf::core::config::record::DrainOrder;
use cornelwharf::core::config::record::MAX_RECORD_BYTES;
use cornelwharf::core::config::record::Party;
use cornelwharf::core::config::record::Record;
use cornelwharf::core::config::record::Unread;
use cornelwharf::core::once::Batch;
use cornelwharf::core::once::key_time;
use cornelwharf::core::session::resume::EVENT_ID_BYTES;
use cornelwharf::core::session::resume::EventId;
use cornelwharf::core::session::wire::HopReply;
use cornelwharf::core::session::wire::Output;
use cornelwharf::core::session::wire::SessionId;
use cornelwharf::io::http::Conn;
use cornelwharf::io::http::HttpError;
use cornelwharf::io::http::Request;
use cornelwharf::io::peer;
use cornelwharf::io::pool::Pool;
use cornelwharf::io::runtime;
use cornelwharf::settings::Settings;
use http::Method;
use http::StatusCode;
use http::Uri;
use proptest::prelude::*;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Text that resembles valid input more often than uniformly random text does.
fn text() -> impl Strategy<Value = String> {
    let words =
        "[-{}\\[\\]:,\"'0-9a-f \\n]{0,40}|(seen|body|plan|drain|model|prompt|claim|teams|vm)";
    prop::collection::vec(words, 0..12).prop_map(|words| words.concat())
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..300),
        text().prop_map(String::into_bytes),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_bytes_panic_a_parser(input in bytes()) {
        _ = peer::decode(&input);
        _ = Record::decode(&input);
        _ = serde_json::from_slice::<Batch>(&input);
        _ = serde_json::from_slice::<HopReply>(&input);
        _ = CompletionRequest::parse(&input, CompletionKind::Text);
        _ = CompletionRequest::parse(&input, CompletionKind::Chat);
    }

    #[test]
    fn no_text_panics_a_parser(input in prop_oneof![text(), any::<String>()]) {
        _ = Intent::parse(&input);
        _ = Settings::parse(&input);
        _ = EventId::from_str(&input);
        _ = SessionId::from_str(&input);
        _ = key_time(&input.as_str().into());
    }

    #[test]
    fn event_ids_round_trip(index: u32, digest: u64, seed: u64) {
        let event = EventId { index, digest, seed };
        let text = event.to_string();
        prop_assert!(text.len() <= EVENT_ID_BYTES);
        prop_assert_eq!(EventId::from_str(&text), Ok(event));
    }

    #[test]
    fn a_parsed_event_id_formats_as_its_input(input in "[0-9a-fA-F+]{1,9}-[0-9a-f]{0,17}-[0-9a-f]{1,17}") {
        if let Ok(event) = EventId::from_str(&input) {
            prop_assert_eq!(event.to_string(), input);
        }
    }

    #[test]
    fn hop_replies_round_trip(boot: u64, serial: u64, token: u32, value: u32, end: bool, from: u32) {
        let reply = HopReply {
            session: SessionId { boot, serial },
            attempt: 1,
            token,
            layers: Layers { from, to: from.wrapping_add(1) },
            output: Output::Token { value, end },
        };
        let text = serde_json::to_vec(&reply).unwrap();
        prop_assert_eq!(serde_json::from_slice::<HopReply>(&text).unwrap(), reply);
    }

    #[test]
    fn records_round_trip(seen: u64, name in "[a-z]{1,20}", on: bool) {
        let order = DrainOrder {
            endpoint: name.as_str().into(),
            by: Party::Operator(name.as_str().into()),
            at: Millis(seen),
            on,
        };
        let record = Record::new(Offset(seen), order);
        prop_assert_eq!(Record::decode(&record.encode()), record);
    }

    #[test]
    fn key_times_match_the_uuid(millis in 0u64..1 << 48, low: u64) {
        let tail = format!("7{:03x}-8{:03x}-{:012x}", low & 0xfff, low >> 12 & 0xfff, low >> 16);
        let key = format!("{:08x}-{:04x}-{tail}", millis >> 16, millis & 0xffff);
        prop_assert_eq!(key_time(&key.as_str().into()), Some(Millis(millis)));
    }

    /// Whatever bytes arrive, the reader returns a request, an error or the end of the connection.
    #[test]
    fn no_bytes_on_a_connection_panic_the_reader(input in bytes()) {
        _ = receive(input);
    }

    #[test]
    fn valid_requests_are_read(path in "/[a-z]{0,20}", body in prop::collection::vec(any::<u8>(), 0..2000)) {
        let head = format!("POST {path} HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
        let read = receive([head.as_bytes(), &body].concat());
        let request = read.unwrap().unwrap();
        prop_assert_eq!(request.uri.path(), path);
        prop_assert_eq!(&request.body[..], &body[..]);
    }
}

/// Sends bytes over a loopback connection, closes it, and reads one request.
fn receive(input: Vec<u8>) -> Result<Option<Request>, HttpError> {
    runtime::run(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("free port");
        let addr = listener.local_addr().expect("bound address");
        let sender = std::thread::spawn(move || {
            use std::io::Write;
            let mut stream = std::net::TcpStream::connect(addr).expect("connect to the listener");
            // Errors are expected: the reader may close the connection before it has read everything.
            _ = stream.write_all(&input);
            _ = stream.shutdown(std::net::Shutdown::Write);
            stream
        });
        let (stream, _) = listener.accept().expect("accept the connection");
        stream.set_nonblocking(true).expect("set up the socket");
        let stream = monoio::net::TcpStream::from_std(stream).expect("set up the socket");
        let read = Conn::accept(stream)
            .expect("set up the socket")
            .reader
            .request()
            .await;
        drop(sender.join());
        read
    })
    .expect("start the event loop")
}

#[test]
fn heads_and_bodies_are_bounded() {
    let long = format!(
        "GET / HTTP/1.1\r\nx: {}\r\n\r\n",
        "a".repeat(MAX_HEAD_BYTES)
    );
    let large = format!(
        "POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    let endless = format!("GET /{}", "a".repeat(2 * MAX_HEAD_BYTES));
    for input in [long, large, endless] {
        let read = receive(input.into_bytes());
        assert!(matches!(read, Err(HttpError::TooLarge)));
    }
}

#[test]
fn chunked_bodies_are_bounded() {
    let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
    let head = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    let read = receive(
        [
            head,
            &chunk.repeat(MAX_BODY_BYTES / 0x10000 + 1),
            "0\r\n\r\n",
        ]
        .concat()
        .into(),
    );
    assert!(matches!(read, Err(HttpError::TooLarge)));
}

#[test]
fn documents_are_bounded() {
    let long = " ".repeat(MAX_INTENT_BYTES + 1);
    assert!(Intent::parse(&long).is_err());
    let long = " ".repeat(MAX_RECORD_BYTES + 1);
    let read = Record::decode(long.as_bytes());
    assert_eq!(read.body, Body::Unread(Unread::Malformed));
}

/// Answers one request at a loopback address with a piece that is repeated until the caller closes
/// the connection, and returns the address.
fn answer_forever(head: &'static [u8], piece: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("free port");
    let addr = listener.local_addr().expect("bound address");
    std::thread::spawn(move || {
        use std::io::Read;
        use std::io::Write;
        let (mut stream, _) = listener.accept().expect("a connection");
        let size = stream.read(&mut [0; 1024]).expect("a request");
        assert!(size > 0);
        let mut sent = stream.write_all(head);
        while sent.is_ok() {
            sent = stream.write_all(piece);
        }
    });
    addr
}

#[test]
fn answers_without_end_are_given_up_at_their_limits() {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let endless: [(&[u8], &[u8]); 4] = [
        (b"HTTP/1.1 200 OK\r\n", b"x-field: value\r\n"),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", &[0x5a; 4096]),
        (chunked, b"1000\r\n0123456789abcdef"),
    ];
    for (head, piece) in endless {
        let addr = answer_forever(head, piece);
        let answer = runtime::run(async {
            let mut conn = Conn::dial(addr).await.expect("a connection");
            let request = Request::new(Method::GET, Uri::from_static("/a"));
            conn.call(&request, Millis::seconds(20)).await
        })
        .expect("start the event loop");
        let is_given_up = matches!(answer, Err(HttpError::TooLarge | HttpError::Malformed));
        assert!(is_given_up, "{answer:?}");
    }
}

#[test]
fn a_chunk_without_end_is_given_up_at_its_limit() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7fffffff\r\n";
    let addr = answer_forever(head, &[0x5a; 4096]);
    let chunk = runtime::run(async {
        let mut conn = Conn::dial(addr).await.expect("a connection");
        let request = Request::new(Method::GET, Uri::from_static("/a"));
        conn.writer.request(&request).await.expect("sent");
        conn.reader.response_head(false).await.expect("a head");
        conn.reader.chunk().await
    })
    .expect("start the event loop");
    assert!(matches!(chunk, Err(HttpError::TooLarge)), "{chunk:?}");
}

#[test]
fn a_connection_whose_answer_ended_with_it_is_not_pooled() {
    let marked: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let answers: [(&[u8], bool); 3] = [
        (b"HTTP/1.1 200 OK\r\n\r\nthe whole answer", true),
        (marked, false),
        (marked, true),
    ];
    let mut pooled = Vec::new();
    for (answer, closes) in answers {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("free port");
        let addr = listener.local_addr().expect("bound address");
        let endpoint = std::thread::spawn(move || {
            use std::io::Read;
            use std::io::Write;
            let (mut stream, _) = listener.accept().expect("a connection");
            let size = stream.read(&mut [0; 1024]).expect("a request");
            assert!(size > 0);
            stream.write_all(answer).expect("sent");
            if !closes {
                let _ = stream.read(&mut [0; 1]);
            }
        });
        let is_pooled = runtime::run(async {
            let pool = Pool::new(Clock::start());
            let request = Request::new(Method::GET, Uri::from_static("/a"));
            let response = pool.call(addr, &request, Millis::seconds(2)).await;
            assert_eq!(response.expect("an answer").status, StatusCode::OK);
            monoio::time::sleep(Millis(20).duration()).await;
            pool.take_idle(addr).is_some()
        })
        .expect("start the event loop");
        endpoint.join().expect("the endpoint ended");
        pooled.push(is_pooled);
    }
    assert_eq!(pooled, [false, true, false]);
}

//! Gossip between VMs: which VMs are alive and what each of them knows (docs/PROTOCOLS.md).

use std::io;
use std::rc::Rc;

use monoio::net::udp::UdpSocket;

use super::load;
use super::notice;
use super::parts;
use super::plain;
use super::startup;
use super::startup::Step;
use super::state::Edge;
use super::suspect;
use crate::clock::Millis;
use crate::core::fleet::CutNotice;
use crate::core::fleet::Fleet;
use crate::core::fleet::HEARTBEAT_INTERVAL;
use crate::core::fleet::Member;
use crate::core::fleet::Message;
use crate::core::plain::ErrorNotice;
use crate::core::poison::PartRecord;
use crate::core::poison::SuspectGossip;
use crate::core::roster::LeavingNotice;
use crate::core::roster::RateNotice;
use crate::io::timeout::within;

/// The size of the receive buffer, that of the largest datagram. A gossip message fits one packet of an
/// ordinary network; the load of hundreds of engines takes several.
const MAX_MESSAGE_BYTES: usize = 65_536;
/// The pause after a message could not be received.
const ERROR_PAUSE: Millis = Millis(10);
/// The least time between two messages, even when there is news.
const MIN_INTERVAL: Millis = Millis(40);
/// The pause between two attempts to write this VM's record to the store or to read the others'.
const PUBLISH_INTERVAL: Millis = Millis::seconds(2);

/// Binds the UDP socket and starts the gossip tasks.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(edge: &Edge) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(edge.settings().peer)?);
    monoio::spawn(receive_messages(edge.clone(), Rc::clone(&socket)));
    monoio::spawn(send_messages(edge.clone(), Rc::clone(&socket)));
    monoio::spawn(load::run(edge.clone(), socket));
    monoio::spawn(sync_members(edge.clone()));
    Ok(())
}

async fn receive_messages(edge: Edge, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (result, back) = socket.recv_from(buf).await;
        buf = back;
        let (size, from) = match result {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "message_not_received");
                // The call may fail again at once, and nothing else would run meanwhile.
                monoio::time::sleep(ERROR_PAUSE.duration()).await;
                continue;
            }
        };
        if load::receive(&edge, from, &buf[..size]) {
            continue;
        }
        match postcard::take_from_bytes::<Message>(&buf[..size]) {
            Ok((message, rest)) => {
                receive(&edge, message);
                receive_records(&edge, rest);
            }
            Err(error) => log::debug!(from:% = from, error:% = error; "message_dropped"),
        }
    }
}

fn receive(edge: &Edge, message: Message) {
    let now = edge.now();
    startup::record(edge, Step::Peer, "peer");
    for mark in &message.marks {
        if edge.roster(|roster| roster.apply_mark(now, mark)) {
            let source = &message.from.vm;
            log::info!(endpoint:% = mark.endpoint, pace = mark.pace, source:% = source; "endpoint_marked");
            edge.trigger_gossip();
        }
    }
    edge.fleet(|fleet| fleet.receive(now, message));
}

/// Merges what follows a message, if anything does: the [`Sections`] in their order.
fn receive_records(edge: &Edge, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    match postcard::take_from_bytes(bytes) {
        Ok((gossip, rest)) => {
            suspect::receive(edge, gossip, "peer");
            receive_notices(edge, rest);
        }
        Err(error) => log::debug!(error:% = error; "suspects_dropped"),
    }
}

fn receive_notices(edge: &Edge, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    match postcard::take_from_bytes::<Vec<LeavingNotice>>(bytes) {
        Ok((notices, rest)) => {
            notice::receive(edge, &notices);
            receive_parts(edge, rest);
        }
        Err(error) => log::debug!(error:% = error; "notices_dropped"),
    }
}

fn receive_parts(edge: &Edge, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    match postcard::take_from_bytes::<Vec<PartRecord>>(bytes) {
        Ok((records, rest)) => {
            if !records.is_empty() {
                parts::receive(edge, records, "peer");
            }
            receive_limits(edge, rest);
        }
        Err(error) => log::debug!(error:% = error; "parts_dropped"),
    }
}

fn receive_limits(edge: &Edge, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    match postcard::take_from_bytes::<Vec<RateNotice>>(bytes) {
        Ok((notices, rest)) => {
            notice::receive_limits(edge, &notices);
            receive_cuts(edge, rest);
        }
        Err(error) => log::debug!(error:% = error; "limits_dropped"),
    }
}

fn receive_cuts(edge: &Edge, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    match postcard::take_from_bytes::<Vec<CutNotice>>(bytes) {
        Ok((notices, rest)) => {
            edge.fleet(|fleet| fleet.receive_cut_notices(edge.now(), &notices));
            receive_errors(edge, rest);
        }
        Err(error) => log::debug!(error:% = error; "cuts_dropped"),
    }
}

fn receive_errors(edge: &Edge, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    match postcard::take_from_bytes::<Vec<ErrorNotice>>(bytes) {
        Ok((notices, _)) => plain::receive(edge, &notices),
        Err(error) => {
            log::debug!(error:% = error; "errors_dropped");
            edge.metrics().count_dropped_notices(1);
        }
    }
}

/// What follows a message, in this order. VMs of earlier releases ignore what follows the sections
/// that they know, and a section is left out only if no later one follows.
struct Sections {
    suspects: SuspectGossip,
    notices: Vec<LeavingNotice>,
    parts: Vec<PartRecord>,
    limits: Vec<RateNotice>,
    cuts: Vec<CutNotice>,
    errors: Vec<ErrorNotice>,
}

fn encode(message: &Message, sections: &Sections) -> postcard::Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(message)?;
    let has_errors = !sections.errors.is_empty();
    let has_cuts = !sections.cuts.is_empty() || has_errors;
    let has_limits = !sections.limits.is_empty() || has_cuts;
    let has_parts = !sections.parts.is_empty() || has_limits;
    let has_notices = !sections.notices.is_empty() || has_parts;
    if !sections.suspects.records.is_empty() || has_notices {
        bytes = postcard::to_extend(&sections.suspects, bytes)?;
    }
    if has_notices {
        bytes = postcard::to_extend(&sections.notices, bytes)?;
    }
    if has_parts {
        bytes = postcard::to_extend(&sections.parts, bytes)?;
    }
    if has_limits {
        bytes = postcard::to_extend(&sections.limits, bytes)?;
    }
    if has_cuts {
        bytes = postcard::to_extend(&sections.cuts, bytes)?;
    }
    if has_errors {
        bytes = postcard::to_extend(&sections.errors, bytes)?;
    }
    Ok(bytes)
}

async fn send_messages(edge: Edge, socket: Rc<UdpSocket>) {
    loop {
        let now = edge.now();
        let ready = edge.is_ready();
        if ready {
            startup::record(&edge, Step::Ready, "self");
        }
        let marks = edge.roster(|roster| roster.marks(now));
        let (message, to) = edge.fleet(|fleet| {
            fleet.me().ready = ready;
            fleet.next_message(now, marks)
        });
        let sections = Sections {
            suspects: suspect::next_records(&edge),
            notices: notice::next_notices(&edge),
            parts: parts::next_records(&edge),
            limits: notice::next_limits(&edge),
            cuts: edge.fleet(|fleet| fleet.cut_notices(now)),
            errors: plain::next_notices(&edge),
        };
        match encode(&message, &sections) {
            Ok(bytes) => {
                for addr in to {
                    let (result, _) = socket.send_to(bytes.clone(), addr).await;
                    if let Err(error) = result {
                        log::debug!(to:% = addr, error:% = error; "message_not_sent");
                    }
                }
            }
            Err(error) => log::error!(error:% = error; "message_not_encoded"),
        }
        if edge.suspects(|suspects| suspects.has_news()) || edge.parts(|parts| parts.has_news()) {
            edge.trigger_gossip();
        }
        monoio::time::sleep(MIN_INTERVAL.duration()).await;
        // Triggered or timed out, the next message is due.
        let _ = within(HEARTBEAT_INTERVAL - MIN_INTERVAL, edge.gossip_triggered()).await;
    }
}

/// Writes this VM's record to the store once after a start, and again when the store came back from
/// an older copy, which may lack it. Reads the other VMs' records before, as VMs that all start anew find
/// each other by the records of their earlier runs. Reads them again a while later, when VMs that start
/// for the first time have written theirs, and while none of them is heard from.
async fn sync_members(edge: Edge) {
    read_members(&edge).await;
    let mut written = None;
    let mut known = false;
    loop {
        let era = edge.store_era();
        if written != Some(era) && write_member(&edge).await {
            written = Some(era);
        }
        let alone = edge.fleet(|fleet| fleet.alive(edge.now()).next().is_none());
        monoio::time::sleep(PUBLISH_INTERVAL.duration()).await;
        if alone || !known {
            known = read_members(&edge).await;
            if known {
                edge.fleet(Fleet::record_list);
            }
        }
    }
}

async fn write_member(edge: &Edge) -> bool {
    let me = edge.fleet(|fleet| fleet.me().clone());
    let capacity = edge.settings().capacity();
    edge.fleet(|fleet| fleet.record_capacity(&me.vm, capacity));
    // VMs of earlier releases ignore what follows the description.
    let value = postcard::to_stdvec(&me).and_then(|bytes| postcard::to_extend(&capacity, bytes));
    let Ok(value) = value else {
        return false;
    };
    let topic = edge.dialect().topics.vms;
    match edge.store().append(topic, &me.vm, &value).await {
        Ok(offset) => {
            log::info!(offset:% = offset; "vm_published");
            true
        }
        Err(error) => {
            log::warn!(error:% = error; "vm_not_published");
            false
        }
    }
}

async fn read_members(edge: &Edge) -> bool {
    let topic = edge.dialect().topics.vms;
    match edge.store().newest(topic).await {
        Ok((records, _)) => {
            startup::record(edge, Step::Vms, "store");
            for record in records {
                let Some(value) = record.value else {
                    continue;
                };
                let Ok((member, rest)) = postcard::take_from_bytes::<Member>(&value) else {
                    continue;
                };
                // Records of earlier releases end here.
                let capacity = postcard::from_bytes::<u16>(rest).unwrap_or(0);
                edge.fleet(|fleet| {
                    fleet.record_capacity(&member.vm, capacity);
                    fleet.add_listed(edge.now(), member);
                });
            }
            true
        }
        Err(error) => {
            log::warn!(error:% = error; "vms_not_read");
            false
        }
    }
}

//! The shell round the core: feeds it events and carries out its actions.
//!
//! All tasks of a daemon run on one thread and share one [`Shell`]. A task feeds an event; the
//! core's actions start tasks of their own or go to the mailbox of the caller concerned.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::Clock;
use crate::clock::Millis;
use crate::core::daemon::Action;
use crate::core::daemon::Core;
use crate::core::daemon::Event;
use crate::core::daemon::Message;
use crate::core::session::event::RequestId;
use crate::names::Vm;

use super::command::Command;
use super::command::SendAttempt;
use super::hop;
use super::mailbox::Mailbox;
use super::metrics::Metrics;
use super::peer::Links;
use super::platform::Platform;
use super::pool::Pool;
use super::stream;

/// The interval at which the load that an endpoint tells with its answers is taken in.
const LOAD_REPORT_INTERVAL: Millis = Millis(100);
/// The commands that may wait for one caller; a slower caller is dropped.
const MAILBOX_CAPACITY: usize = 4096;

/// What the tasks of a daemon share.
#[derive(Clone, Debug)]
pub struct Shell {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    core: RefCell<Core>,
    events: RefCell<VecDeque<Event>>,
    is_stepping: Cell<bool>,
    callers: RefCell<BTreeMap<RequestId, Mailbox<Command>>>,
    next_id: Cell<u64>,
    last_loads: RefCell<BTreeMap<SocketAddr, Millis>>,
    should_exit: Cell<bool>,
    pool: Pool,
    platform: Platform,
    links: Links,
    metrics: Metrics,
}

impl Shell {
    /// Puts a shell round a core.
    pub fn new(clock: Clock, core: Core, platform: Platform, links: Links, pool: Pool) -> Self {
        let inner = Inner {
            clock,
            core: RefCell::new(core),
            events: RefCell::default(),
            is_stepping: Cell::new(false),
            callers: RefCell::default(),
            next_id: Cell::new(0),
            last_loads: RefCell::default(),
            should_exit: Cell::new(false),
            pool,
            platform,
            links,
            metrics: Metrics::new(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Millis {
        self.inner.clock.now()
    }

    /// Returns the kept connections to endpoints.
    pub fn pool(&self) -> &Pool {
        &self.inner.pool
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &Platform {
        &self.inner.platform
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Says whether the daemon may stop now.
    pub fn should_exit(&self) -> bool {
        self.inner.should_exit.get()
    }

    /// Looks something up in the core.
    pub fn query<T, F>(&self, query: F) -> T
    where
        F: FnOnce(&mut Core, Millis) -> T,
    {
        query(&mut self.inner.core.borrow_mut(), self.now())
    }

    /// Says whether a load report from an address would be news, and counts it as taken.
    pub fn take_load_report(&self, addr: SocketAddr) -> bool {
        let now = self.now();
        let mut last_loads = self.inner.last_loads.borrow_mut();
        let last = last_loads.entry(addr).or_default();
        let is_due = now.since(*last) >= LOAD_REPORT_INTERVAL;
        if is_due {
            *last = now;
        }
        is_due
    }

    /// Opens a mailbox for a new request.
    pub fn register_caller(&self) -> Caller {
        let id = RequestId(self.inner.next_id.get() + 1);
        self.inner.next_id.set(id.0);
        let mailbox = Mailbox::new(MAILBOX_CAPACITY);
        self.inner.callers.borrow_mut().insert(id, mailbox.clone());
        Caller {
            shell: self.clone(),
            id,
            mailbox,
        }
    }

    /// Feeds an event to the core and carries out what it orders.
    pub fn feed(&self, event: Event) {
        self.inner.events.borrow_mut().push_back(event);
        if self.inner.is_stepping.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.next_event() {
            self.inner
                .core
                .borrow_mut()
                .step(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
        self.inner.is_stepping.set(false);
    }

    fn next_event(&self) -> Option<Event> {
        self.inner.events.borrow_mut().pop_front()
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Send {
                id,
                attempt,
                addr,
                fresh,
                timeout,
            } => {
                self.command(
                    id,
                    Command::Send(SendAttempt {
                        number: attempt,
                        addr,
                        fresh,
                        timeout,
                    }),
                );
            }
            Action::Relay { id, attempt } => self.command(id, Command::Relay(attempt)),
            Action::Replay { id, answer } => self.command(id, Command::Replay(answer)),
            Action::Fail { id, failure } => self.command(id, Command::Fail(failure)),
            Action::Drop(id) => self.command(id, Command::Drop),
            Action::Token { id, value, event } => {
                self.command(id, Command::Token { value, event });
            }
            Action::Finish { id, reason } => self.command(id, Command::Finish(reason)),
            Action::Models { id, models } => self.command(id, Command::Models(models)),
            Action::Reply { id, reply } => self.command(id, Command::Reply(Box::new(reply))),
            Action::Hop { id, addr, hop } => {
                monoio::spawn(hop::send(self.clone(), id, addr, hop));
            }
            Action::Probe { id, addr, key } => {
                monoio::spawn(hop::probe(self.clone(), id, addr, key));
            }
            Action::Release { addr, release } => {
                monoio::spawn(hop::release(self.clone(), addr, release));
            }
            Action::Poll { endpoint, addr } => {
                monoio::spawn(hop::poll(self.clone(), endpoint, addr));
            }
            Action::Append { append, record } => {
                monoio::spawn(stream::append(self.clone(), append, record));
            }
            Action::Read { read, from } => {
                monoio::spawn(stream::read(self.clone(), read, from));
            }
            Action::SendPeer { vm, addr, message } => self.send_peer(&vm, addr, &message),
            Action::Log(entry) => log::info!(subject = *entry.subject; "{}", entry.event),
            Action::Exit => self.inner.should_exit.set(true),
        }
    }

    fn command(&self, id: RequestId, command: Command) {
        let callers = self.inner.callers.borrow();
        let Some(mailbox) = callers.get(&id) else {
            return;
        };
        if mailbox.send(command).is_err() {
            self.inner
                .events
                .borrow_mut()
                .push_back(Event::CallerLeft(id));
        }
    }

    fn send_peer(&self, vm: &Vm, addr: SocketAddr, message: &Message) {
        match super::peer::encode(&message.body) {
            Ok(frame) => {
                self.inner.metrics.peer_bytes_sent(frame.len());
                self.inner.links.send(addr, frame);
            }
            Err(error) => log::error!(vm:% = vm, error:% = error; "message_not_encoded"),
        }
    }
}

/// A request's place in the shell; it is given up when this is dropped.
#[derive(Debug)]
pub struct Caller {
    shell: Shell,
    /// The request's number.
    pub id: RequestId,
    mailbox: Mailbox<Command>,
}

impl Caller {
    /// Waits for the core's next command.
    pub async fn next_command(&self) -> Command {
        self.mailbox.receive().await
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.shell.inner.callers.borrow_mut().remove(&self.id);
    }
}

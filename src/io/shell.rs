//! The shell around the core: it feeds events to the core and executes the resulting actions.
//!
//! All tasks of a daemon run on one thread and share one [`Shell`]. When a task feeds an event,
//! each action that the core returns either starts a task of its own or goes as a [`Command`] to
//! the mailbox of the request that it concerns.

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

/// The minimum time between two load reports from one address; reports in between are ignored.
const LOAD_REPORT_INTERVAL: Millis = Millis(100);
/// How many commands may be queued for one request; if there are more, the caller counts as gone.
const MAILBOX_CAPACITY: usize = 4096;

/// The state that all tasks of a daemon share; clones refer to the same state.
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
    is_stopping: Cell<bool>,
    should_exit: Cell<bool>,
    open_requests: Cell<u64>,
    pool: Pool,
    platform: Platform,
    links: Links,
    metrics: Metrics,
}

impl Shell {
    /// Creates a shell for a core and the connections that the core's actions need.
    pub fn new(clock: Clock, core: Core, platform: Platform, links: Links, pool: Pool) -> Self {
        let inner = Inner {
            clock,
            core: RefCell::new(core),
            events: RefCell::default(),
            is_stepping: Cell::new(false),
            callers: RefCell::default(),
            next_id: Cell::new(0),
            last_loads: RefCell::default(),
            is_stopping: Cell::new(false),
            should_exit: Cell::new(false),
            open_requests: Cell::new(0),
            pool,
            platform,
            links,
            metrics: Metrics::new(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> Millis {
        self.inner.clock.now()
    }

    /// Returns the pool of idle connections to endpoints.
    pub fn pool(&self) -> &Pool {
        &self.inner.pool
    }

    /// Returns the client for the platform's log and its list of VMs.
    pub fn platform(&self) -> &Platform {
        &self.inner.platform
    }

    /// Returns the daemon's counters and histograms.
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Returns whether the core has asked for the process to exit.
    pub fn should_exit(&self) -> bool {
        self.inner.should_exit.get()
    }

    /// Starts the shutdown; each answer ends its connection from now on.
    pub fn stop(&self) {
        if !self.inner.is_stopping.replace(true) {
            self.feed(Event::Stop);
        }
    }

    /// Returns whether the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.inner.is_stopping.get()
    }

    /// Returns the number of requests whose first byte was read and whose answer is not yet written.
    pub fn open_requests(&self) -> u64 {
        self.inner.open_requests.get()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn begin_request(&self) -> OpenRequest {
        self.inner.open_requests.set(self.open_requests() + 1);
        OpenRequest {
            shell: self.clone(),
        }
    }

    /// Runs a query against the core, outside of any event, and returns its result.
    pub fn query<T, F>(&self, query: F) -> T
    where
        F: FnOnce(&mut Core, Millis) -> T,
    {
        query(&mut self.inner.core.borrow_mut(), self.now())
    }

    /// Returns whether a load report from an address is due, and if so restarts the interval until
    /// the next one.
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

    /// Registers a new request: gives it a number and a mailbox for the core's commands.
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

    /// Feeds an event to the core and executes the resulting actions. Events that are fed during
    /// this are queued and handled by the outermost call.
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
                timeout,
            } => {
                self.send_command(
                    id,
                    Command::Send(SendAttempt {
                        number: attempt,
                        addr,
                        timeout,
                    }),
                );
            }
            Action::Relay { id, attempt } => self.send_command(id, Command::Relay(attempt)),
            Action::Replay { id, answer } => self.send_command(id, Command::Replay(answer)),
            Action::Fail { id, failure } => self.send_command(id, Command::Fail(failure)),
            Action::Drop(id) => self.send_command(id, Command::Drop),
            Action::Token { id, value, event } => {
                self.send_command(id, Command::Token { value, event });
            }
            Action::Finish { id, reason } => self.send_command(id, Command::Finish(reason)),
            Action::Models { id, models } => self.send_command(id, Command::Models(models)),
            Action::Reply { id, reply } => self.send_command(id, Command::Reply(Box::new(reply))),
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

    fn send_command(&self, id: RequestId, command: Command) {
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

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenRequest {
    shell: Shell,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.shell.inner.open_requests;
        open.set(open.get().saturating_sub(1));
    }
}

/// A registered request of a caller; dropping it removes the registration.
#[derive(Debug)]
pub struct Caller {
    shell: Shell,
    /// The number that identifies the request on this VM.
    pub id: RequestId,
    mailbox: Mailbox<Command>,
}

impl Caller {
    /// Waits for the core's next command for this request.
    pub async fn next_command(&self) -> Command {
        self.mailbox.receive().await
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.shell.inner.callers.borrow_mut().remove(&self.id);
    }
}

//! A bounded queue between two tasks on one thread.
//!
//! The sender never waits: an item that does not fit is returned to it, so that a slow receiver
//! cannot block the task that sends.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

/// A queue, used by both its sender and its receiver; clones share it.
#[derive(Debug)]
pub struct Mailbox<T> {
    inner: Rc<RefCell<Inner<T>>>,
}

#[derive(Debug)]
struct Inner<T> {
    limit: usize,
    items: VecDeque<T>,
    waker: Option<Waker>,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<T> Mailbox<T> {
    /// Creates an empty queue for at most `limit` items.
    pub fn new(limit: usize) -> Self {
        let inner = Inner {
            limit,
            items: VecDeque::new(),
            waker: None,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Adds an item and wakes the receiver.
    ///
    /// # Errors
    ///
    /// Returns the item if the queue is full.
    pub fn send(&self, item: T) -> Result<(), T> {
        let mut inner = self.inner.borrow_mut();
        if inner.items.len() >= inner.limit {
            return Err(item);
        }
        inner.items.push_back(item);
        if let Some(waker) = inner.waker.take() {
            waker.wake();
        }
        Ok(())
    }

    /// Waits for the next item. Only one task may wait at a time.
    pub async fn receive(&self) -> T {
        poll_fn(|context| self.poll(context)).await
    }

    fn poll(&self, context: &Context<'_>) -> Poll<T> {
        let mut inner = self.inner.borrow_mut();
        if let Some(item) = inner.items.pop_front() {
            return Poll::Ready(item);
        }
        inner.waker = Some(context.waker().clone());
        Poll::Pending
    }
}

//! Continuous batching with a fixed cost model.
//!
//! A batch takes up to `slots` jobs and lasts `step`, plus the time for the prompt positions in
//! it; jobs that arrive in that time wait for the next batch. The time is spent in timers and uses
//! no CPU, so that many engines can run on one machine.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;

use crate::clock::Millis;

/// The job queue of one accelerator.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    slots: usize,
    step: Millis,
    prefill: u32,
    running: u32,
    queue: VecDeque<Job>,
    is_active: bool,
}

#[derive(Debug)]
struct Job {
    positions: u32,
    done: oneshot::Sender<()>,
}

impl Batch {
    pub(super) fn start(slots: usize, step: Millis, prefill: u32) -> Self {
        let queue = VecDeque::new();
        let inner = Inner {
            slots,
            step,
            prefill,
            running: 0,
            queue,
            is_active: false,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    pub(super) fn running(&self) -> u32 {
        self.inner.borrow().running
    }

    pub(super) fn waiting(&self) -> u32 {
        self.inner.borrow().queue.len() as u32
    }

    /// Queues a job and waits until its batch is done.
    ///
    /// If no batch is running, `delay` is added to each batch until the queue is empty; otherwise it
    /// is ignored.
    pub(super) async fn run(&self, positions: u32, delay: Millis) {
        let (done, wait) = oneshot::channel();
        self.inner
            .borrow_mut()
            .queue
            .push_back(Job { positions, done });
        if !std::mem::replace(&mut self.inner.borrow_mut().is_active, true) {
            let batch = self.clone();
            monoio::spawn(async move { batch.run_batches(delay).await });
        }
        let _ = wait.await;
    }

    async fn run_batches(&self, delay: Millis) {
        loop {
            let jobs = self.inner.borrow_mut().next_batch();
            if jobs.is_empty() {
                self.inner.borrow_mut().is_active = false;
                return;
            }
            let span = self.inner.borrow().duration(&jobs) + delay;
            monoio::time::sleep(span.duration()).await;
            for job in jobs {
                let _ = job.done.send(());
            }
        }
    }
}

impl Inner {
    fn next_batch(&mut self) -> Vec<Job> {
        let size = self.slots.min(self.queue.len());
        self.running = size as u32;
        self.queue.drain(..size).collect()
    }

    fn duration(&self, jobs: &[Job]) -> Millis {
        let positions: u32 = jobs.iter().map(|job| job.positions).sum();
        let extra = positions.checked_div(self.prefill).unwrap_or(0);
        self.step + Millis(u64::from(extra))
    }
}

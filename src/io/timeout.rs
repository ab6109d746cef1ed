//! A timeout that needs no timer if the work completes at once.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

use monoio::time::error::Elapsed;
use monoio::time::timeout;

use crate::clock::Millis;

/// Runs `work` for at most `limit`.
///
/// The first poll happens before a timer is set. Most reads and writes complete in it, and so avoid
/// the cost of the timer that the runtime's `timeout` always sets.
///
/// # Errors
///
/// Fails if `work` has not completed within `limit`.
pub async fn within<F>(limit: Millis, work: F) -> Result<F::Output, Elapsed>
where
    F: Future,
{
    let mut work = pin!(work);
    let first = poll_fn(|context| Poll::Ready(work.as_mut().poll(context))).await;
    match first {
        Poll::Ready(done) => Ok(done),
        Poll::Pending => timeout(limit.duration(), work).await,
    }
}

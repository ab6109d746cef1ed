//! Waits that are bounded.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

use monoio::time::error::Elapsed;
use monoio::time::timeout;

use crate::clock::Millis;

/// Runs `work`, but for no longer than `span`.
///
/// Most reads and writes are done at once; these cost no timer, which a timeout of the runtime
/// always does.
///
/// # Errors
///
/// Fails if the span has passed.
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

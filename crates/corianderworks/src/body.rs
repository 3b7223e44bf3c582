//! Streamed request and response bodies, with limits and observation of their progress.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// Body from any source, such as a connection or a buffer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended before it was complete.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The sender or its connection ended before the end of the body.
    #[error("the body is truncated: {0}")]
    Truncated(String),
    /// The body exceeds the limit, given in bytes.
    #[error("the body exceeds {0} bytes")]
    TooLong(u64),
    /// No data arrived for the longest permitted pause.
    #[error("no body data for {0:?}")]
    Paused(Duration),
}

/// Creates an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|e| match e {}).boxed_unsync()
}

/// Creates a body from a buffer.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Wraps a body that hyper receives from a connection.
pub fn incoming(body: hyper::body::Incoming) -> Body {
    body.map_err(|e| BodyError::Truncated(e.to_string()))
        .boxed_unsync()
}

/// Time for data that arrived in time to get from the socket to the body. After the process itself
/// was paused, the timer may be polled before the socket is read.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);

/// State of the pause timer of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PauseTimer {
    /// Nobody waits for a frame.
    Stopped,
    /// The timer ends after the longest permitted pause.
    Running,
    /// The pause was too long, and the timer ends after [`DELIVERY_MARGIN`].
    Elapsed,
}

/// Body with limits on its length and on the time that its receiver waits for a frame.
pub struct LimitedBody {
    inner: Body,
    remaining_bytes: u64,
    limit_bytes: u64,
    max_pause: Duration,
    timer: Pin<Box<Sleep>>,
    timer_state: PauseTimer,
}

impl LimitedBody {
    /// Limits the length of a body in bytes and the time to wait for each frame.
    pub fn new(inner: Body, limit_bytes: u64, max_pause: Duration) -> Self {
        Self {
            inner,
            remaining_bytes: limit_bytes,
            limit_bytes,
            max_pause,
            timer: Box::pin(tokio::time::sleep(max_pause)),
            timer_state: PauseTimer::Stopped,
        }
    }

    /// Completes when the receiver has waited too long for the next frame.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let (next_state, duration) = match self.timer_state {
                PauseTimer::Stopped => (PauseTimer::Running, self.max_pause),
                PauseTimer::Running => {
                    ready!(self.timer.as_mut().poll(cx));
                    (PauseTimer::Elapsed, DELIVERY_MARGIN)
                }
                PauseTimer::Elapsed => return self.timer.as_mut().poll(cx),
            };
            self.timer_state = next_state;
            self.timer.as_mut().reset(Instant::now() + duration);
        }
    }
}

impl HttpBody for LimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => {
                ready!(self.poll_pause(cx));
                return Poll::Ready(Some(Err(BodyError::Paused(self.max_pause))));
            }
            Poll::Ready(frame) => frame,
        };
        self.timer_state = PauseTimer::Stopped;
        let Some(Ok(frame)) = frame else {
            return Poll::Ready(frame);
        };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.remaining_bytes.checked_sub(length) {
            None => Poll::Ready(Some(Err(BodyError::TooLong(self.limit_bytes)))),
            Some(remaining) => {
                self.remaining_bytes = remaining;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Progress of a body that is being forwarded.
#[derive(Debug, Default)]
pub struct Progress {
    error: Mutex<Option<BodyError>>,
    waiting: AtomicBool,
    progressed: AtomicBool,
}

impl Progress {
    /// Error that ended the body, `None` while there was none.
    pub fn error(&self) -> Option<BodyError> {
        self.error.lock().clone()
    }

    /// True when the receiver polled for a frame that the sender has not delivered yet.
    pub fn is_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns whether a frame or the end of the body was delivered since the last call.
    pub fn take_progressed(&self) -> bool {
        self.progressed.swap(false, Ordering::Relaxed)
    }
}

/// Body that records its progress, to distinguish faults of the sender from those of the receiver.
pub struct TrackedBody {
    inner: Body,
    progress: Arc<Progress>,
}

impl TrackedBody {
    /// Wraps a body and returns its progress, which is updated on each poll.
    pub fn new(inner: Body) -> (Self, Arc<Progress>) {
        let progress = Arc::<Progress>::default();
        let tracked = Self {
            inner,
            progress: progress.clone(),
        };
        (tracked, progress)
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        self.progress
            .waiting
            .store(polled.is_pending(), Ordering::Relaxed);
        if polled.is_ready() {
            self.progress.progressed.store(true, Ordering::Relaxed);
        }
        if let Poll::Ready(Some(Err(error))) = &polled {
            *self.progress.error.lock() = Some(error.clone());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// How the transfer of a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body was read to its end.
    Complete,
    /// The body ended with an error.
    Truncated,
    /// The receiver dropped the body before its end.
    Dropped,
}

/// Body that calls a function once, when it ends or is dropped.
pub struct WatchedBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin,
{
    inner: Body,
    on_end: Option<F>,
}

impl<F> WatchedBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin,
{
    /// Wraps a body. The function is called immediately when the body is empty.
    pub fn new(inner: Body, on_end: F) -> Self {
        let mut watched = Self {
            inner,
            on_end: Some(on_end),
        };
        if watched.inner.is_end_stream() {
            watched.notify_end(BodyEnd::Complete);
        }
        watched
    }

    fn notify_end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl<F> HttpBody for WatchedBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.notify_end(BodyEnd::Complete),
            Some(Err(_)) => self.notify_end(BodyEnd::Truncated),
            Some(Ok(_)) if self.inner.is_end_stream() => self.notify_end(BodyEnd::Complete),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F> Drop for WatchedBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin,
{
    fn drop(&mut self) {
        self.notify_end(BodyEnd::Dropped);
    }
}

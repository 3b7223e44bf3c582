//! Bodies that are streamed through a daemon.

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

/// Body of any source.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended before it was whole.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The sender cut the body off.
    #[error("the body is truncated: {0}")]
    Truncated(String),
    /// The body is over the limit.
    #[error("the body is over {0} bytes")]
    TooLong(u64),
    /// The sender paused for too long.
    #[error("no body data for {0:?}")]
    Paused(Duration),
}

/// Body without content.
pub fn empty() -> Body {
    Empty::new().map_err(|e| match e {}).boxed_unsync()
}

/// Body with content at hand.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Body received by hyper.
pub fn incoming(body: hyper::body::Incoming) -> Body {
    body.map_err(|e| BodyError::Truncated(e.to_string()))
        .boxed_unsync()
}

/// Body with a limit on its length and on pauses between its parts.
pub struct Guarded {
    inner: Body,
    left_bytes: u64,
    limit_bytes: u64,
    pause: Duration,
    sleep: Pin<Box<Sleep>>,
}

impl Guarded {
    /// Limits a body.
    pub fn new(inner: Body, limit_bytes: u64, pause: Duration) -> Self {
        let sleep = Box::pin(tokio::time::sleep(pause));
        Self {
            inner,
            left_bytes: limit_bytes,
            limit_bytes,
            pause,
            sleep,
        }
    }
}

impl HttpBody for Guarded {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => {
                ready!(self.sleep.as_mut().poll(cx));
                return Poll::Ready(Some(Err(BodyError::Paused(self.pause))));
            }
            Poll::Ready(frame) => frame,
        };
        let next = Instant::now() + self.pause;
        self.sleep.as_mut().reset(next);
        let Some(Ok(frame)) = frame else {
            return Poll::Ready(frame);
        };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.left_bytes.checked_sub(length) {
            None => Poll::Ready(Some(Err(BodyError::TooLong(self.limit_bytes)))),
            Some(left) => {
                self.left_bytes = left;
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

/// How far a body has got that is sent on.
#[derive(Debug, Default)]
pub struct Progress {
    error: Mutex<Option<BodyError>>,
    waiting: AtomicBool,
    moved: AtomicBool,
}

impl Progress {
    /// Why the sender did not complete the body, if it failed.
    pub fn error(&self) -> Option<BodyError> {
        self.error.lock().clone()
    }

    /// Whether the next part has been asked for and has not come.
    pub fn is_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Whether a part has come since the last call.
    pub fn take_moved(&self) -> bool {
        self.moved.swap(false, Ordering::Relaxed)
    }
}

/// Body that records its progress, to tell a fault of its sender from one of its receiver.
pub struct Tracked {
    inner: Body,
    progress: Arc<Progress>,
}

impl Tracked {
    /// Records the progress of a body.
    pub fn new(inner: Body) -> (Self, Arc<Progress>) {
        let progress = Arc::<Progress>::default();
        let tracked = Self {
            inner,
            progress: progress.clone(),
        };
        (tracked, progress)
    }
}

impl HttpBody for Tracked {
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
            self.progress.moved.store(true, Ordering::Relaxed);
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

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The whole body was read.
    Whole,
    /// The sender cut the body off.
    Truncated,
    /// The reader went away.
    Dropped,
}

/// Body that calls a function once when it ends or is dropped.
pub struct Watched<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin,
{
    inner: Body,
    on_end: Option<F>,
}

impl<F> Watched<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin,
{
    /// Watches a body; a body without content ends at once.
    pub fn new(inner: Body, on_end: F) -> Self {
        let mut watched = Self {
            inner,
            on_end: Some(on_end),
        };
        if watched.inner.is_end_stream() {
            watched.end(BodyEnd::Whole);
        }
        watched
    }

    fn end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl<F> HttpBody for Watched<F>
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
            None => self.end(BodyEnd::Whole),
            Some(Err(_)) => self.end(BodyEnd::Truncated),
            Some(Ok(_)) if self.inner.is_end_stream() => self.end(BodyEnd::Whole),
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

impl<F> Drop for Watched<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin,
{
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}

//! Connection wrapper with a deadline for the first bytes that a caller sends.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Length of the HTTP/2 connection preface, by which hyper distinguishes HTTP/2 from HTTP/1.1.
const PREFACE_BYTES: usize = 24;

/// Connection on which reads time out when the first bytes do not arrive before a deadline.
///
/// hyper's header timeout starts only when the HTTP version is known, which takes up to 24 bytes.
/// A caller that sends fewer would occupy its connection indefinitely.
pub struct PrefaceTimeout<S> {
    stream: S,
    missing_bytes: usize,
    deadline: Pin<Box<Sleep>>,
}

impl<S> PrefaceTimeout<S> {
    /// Wraps a connection and starts the timeout for its first bytes.
    pub fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            missing_bytes: PREFACE_BYTES,
            deadline: Box::pin(tokio::time::sleep(timeout)),
        }
    }
}

impl<S> AsyncRead for PrefaceTimeout<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.missing_bytes == 0 {
            return polled;
        }
        if polled.is_pending() {
            ready!(self.deadline.as_mut().poll(cx));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let read = buffer.filled().len() - before;
        self.missing_bytes = self.missing_bytes.saturating_sub(read);
        polled
    }
}

impl<S> AsyncWrite for PrefaceTimeout<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

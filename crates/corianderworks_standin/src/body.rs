//! Response bodies that prove which request they answer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Request header with the id that the response must return.
pub const CHECK_HEADER: &str = "cw-check";
/// Response header with the id of the request that was answered.
pub const ECHO_HEADER: &str = "cw-echo-id";
/// Response header with the BLAKE3 hash of the response body.
pub const BODY_HASH_HEADER: &str = "cw-body-blake3";
/// Response header with the BLAKE3 hash of the request body as received.
pub const REQUEST_HASH_HEADER: &str = "cw-request-blake3";
/// Largest body that a request can ask for.
pub const SIZE_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

const FRAME_BYTES: u64 = 16 * 1024;

/// Streams the bytes that belong to a check id.
#[derive(Debug, Clone)]
pub struct SeededBytes {
    reader: blake3::OutputReader,
    left: u64,
}

impl SeededBytes {
    /// Stream of `size_bytes` bytes.
    pub fn new(check: &str, size_bytes: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(check.as_bytes());
        Self {
            reader: hasher.finalize_xof(),
            left: size_bytes,
        }
    }

    /// Next bytes, `None` at the end.
    pub fn next_frame(&mut self) -> Option<Bytes> {
        if self.left == 0 {
            return None;
        }
        let length = self.left.min(FRAME_BYTES);
        self.left -= length;
        let mut frame = vec![0; length as usize];
        self.reader.fill(&mut frame);
        Some(frame.into())
    }

    /// Hash of all remaining bytes.
    pub fn hash(mut self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        while let Some(frame) = self.next_frame() {
            hasher.update(&frame);
        }
        hasher.finalize()
    }
}

/// Content of a response.
#[derive(Debug)]
pub(crate) enum Content {
    /// Bytes that belong to a check id.
    Seeded(SeededBytes),
    /// Given bytes.
    Whole(Bytes),
}

impl Content {
    fn left(&self) -> u64 {
        match self {
            Content::Seeded(bytes) => bytes.left,
            Content::Whole(bytes) => bytes.len() as u64,
        }
    }

    fn next_frame(&mut self) -> Option<Bytes> {
        match self {
            Content::Seeded(bytes) => bytes.next_frame(),
            Content::Whole(bytes) if bytes.is_empty() => None,
            Content::Whole(bytes) => Some(std::mem::take(bytes)),
        }
    }
}

/// Response body, whole or cut off with an error; keeps `G` until it is dropped.
#[derive(Debug)]
pub(crate) struct CutBody<G> {
    content: Content,
    left: u64,
    cut: u64,
    _guard: G,
}

impl<G> CutBody<G> {
    /// Body that announces its whole length and fails before its last `cut`
    /// bytes.
    pub(crate) fn new(content: Content, cut: u64, guard: G) -> Self {
        Self {
            left: content.left(),
            cut,
            content,
            _guard: guard,
        }
    }
}

impl<G: Unpin> Body for CutBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.left > 0 && self.left == self.cut {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        let Some(mut frame) = self.content.next_frame() else {
            return Poll::Ready(None);
        };
        frame.truncate((self.left - self.cut) as usize);
        self.left -= frame.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

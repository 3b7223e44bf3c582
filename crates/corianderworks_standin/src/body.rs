//! Response bodies derived from the check id of a request, with which a caller
//! can verify that a response belongs to its request.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Request header with the check id that the response must echo.
pub const CHECK_HEADER: &str = "cw-check";
/// Response header with the check id of the request.
pub const ECHO_HEADER: &str = "cw-echo-id";
/// Response header with the BLAKE3 hash of the complete response body, in hex.
pub const BODY_HASH_HEADER: &str = "cw-body-blake3";
/// Response header with the BLAKE3 hash of the request body as received, in hex.
pub const REQUEST_HASH_HEADER: &str = "cw-request-blake3";
/// Maximum response body size; larger requested sizes are reduced to it.
pub const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

const FRAME_BYTES: u64 = 16 * 1024;

/// Deterministic byte stream: the extended BLAKE3 output of a check id.
#[derive(Debug, Clone)]
pub struct SeededBytes {
    reader: blake3::OutputReader,
    remaining_bytes: u64,
}

impl SeededBytes {
    /// Creates the stream of the first `size_bytes` bytes for the check id.
    pub fn new(check_id: &str, size_bytes: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(check_id.as_bytes());
        Self {
            reader: hasher.finalize_xof(),
            remaining_bytes: size_bytes,
        }
    }

    /// Returns the next bytes of the stream; `None` at the end.
    pub fn next_frame(&mut self) -> Option<Bytes> {
        if self.remaining_bytes == 0 {
            return None;
        }
        let length = self.remaining_bytes.min(FRAME_BYTES);
        self.remaining_bytes -= length;
        let mut frame = vec![0; length as usize];
        self.reader.fill(&mut frame);
        Some(frame.into())
    }

    /// Computes the BLAKE3 hash of all remaining bytes.
    pub fn hash(mut self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        while let Some(frame) = self.next_frame() {
            hasher.update(&frame);
        }
        hasher.finalize()
    }
}

/// Source of the bytes of a response body.
#[derive(Debug)]
pub(crate) enum Content {
    /// Generated frame by frame from a check id.
    Seeded(SeededBytes),
    /// Held in memory and sent in one frame.
    InMemory(Bytes),
}

impl Content {
    fn remaining_bytes(&self) -> u64 {
        match self {
            Content::Seeded(bytes) => bytes.remaining_bytes,
            Content::InMemory(bytes) => bytes.len() as u64,
        }
    }

    fn next_frame(&mut self) -> Option<Bytes> {
        match self {
            Content::Seeded(bytes) => bytes.next_frame(),
            Content::InMemory(bytes) if bytes.is_empty() => None,
            Content::InMemory(bytes) => Some(std::mem::take(bytes)),
        }
    }
}

/// Response body that can end early with an error. Holds the guard `G` until it is
/// dropped.
#[derive(Debug)]
pub(crate) struct TruncatableBody<G> {
    content: Content,
    remaining_bytes: u64,
    missing_bytes: u64,
    _guard: G,
}

impl<G> TruncatableBody<G> {
    /// Creates a body that announces the full length of the content and fails
    /// before the last `missing_bytes` bytes; 0 sends the content in full.
    pub(crate) fn new(content: Content, missing_bytes: u64, guard: G) -> Self {
        Self {
            remaining_bytes: content.remaining_bytes(),
            missing_bytes,
            content,
            _guard: guard,
        }
    }
}

impl<G: Unpin> Body for TruncatableBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.remaining_bytes > 0 && self.remaining_bytes == self.missing_bytes {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        let Some(mut frame) = self.content.next_frame() else {
            return Poll::Ready(None);
        };
        frame.truncate((self.remaining_bytes - self.missing_bytes) as usize);
        self.remaining_bytes -= frame.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}

//! Encoding of messages: one version byte, then `postcard`, with a length prefix on streams.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the message format; a daemon refuses any other.
pub const FORMAT_VERSION: u8 = 1;
/// Longest encoded control message in bytes.
pub const MESSAGE_MAX_BYTES: usize = 64 * 1024;
/// Longest part of a body in one frame, in bytes.
pub const BODY_FRAME_MAX_BYTES: usize = 16 * 1024;
/// Length of the prefix of a message on a stream, in bytes.
pub const PREFIX_BYTES: usize = 4;

/// Why a message can't be encoded or decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The message has no content.
    #[error("the message is empty")]
    Empty,
    /// The sender speaks another version.
    #[error("message format version {0} is not supported")]
    Version(u8),
    /// The message is over the limit.
    #[error("the message has {0} bytes, the limit is {MESSAGE_MAX_BYTES}")]
    TooLong(usize),
    /// The content is malformed.
    #[error("the message is malformed: {0}")]
    Malformed(String),
    /// Bytes are left over behind the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
}

/// Encodes a message with its version byte.
pub fn encode<M>(message: &M) -> Result<Bytes, CodecError>
where
    M: Serialize,
{
    let mut out = BytesMut::with_capacity(128);
    encode_into(message, &mut out)?;
    Ok(out.freeze())
}

/// Encodes a message with a length prefix, for streams.
pub fn encode_prefixed<M>(message: &M) -> Result<Bytes, CodecError>
where
    M: Serialize,
{
    let mut out = BytesMut::with_capacity(128);
    out.put_u32(0);
    encode_into(message, &mut out)?;
    let length = (out.len() - PREFIX_BYTES) as u32;
    out[..PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(out.freeze())
}

/// Reads a length prefix and checks it against the limit.
pub fn decode_prefix(prefix: [u8; PREFIX_BYTES]) -> Result<usize, CodecError> {
    let length = u32::from_be_bytes(prefix) as usize;
    match length {
        0 => Err(CodecError::Empty),
        n if n > MESSAGE_MAX_BYTES => Err(CodecError::TooLong(n)),
        n => Ok(n),
    }
}

/// Decodes one whole message.
pub fn decode<M>(bytes: &[u8]) -> Result<M, CodecError>
where
    M: DeserializeOwned,
{
    if bytes.len() > MESSAGE_MAX_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    let (&version, content) = bytes.split_first().ok_or(CodecError::Empty)?;
    if version != FORMAT_VERSION {
        return Err(CodecError::Version(version));
    }
    let (message, rest) =
        postcard::take_from_bytes(content).map_err(|e| CodecError::Malformed(e.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(CodecError::Trailing(rest.len()))
    }
}

fn encode_into<M>(message: &M, out: &mut BytesMut) -> Result<(), CodecError>
where
    M: Serialize,
{
    let start = out.len();
    out.put_u8(FORMAT_VERSION);
    postcard::to_io(message, out.writer()).map_err(|e| CodecError::Malformed(e.to_string()))?;
    let length = out.len() - start;
    if length > MESSAGE_MAX_BYTES {
        Err(CodecError::TooLong(length))
    } else {
        Ok(())
    }
}

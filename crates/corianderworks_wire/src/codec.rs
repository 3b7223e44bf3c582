//! Binary encoding of messages: a version byte followed by `postcard` data. On streams, each
//! message has a length prefix.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the message format. A daemon rejects messages of any other version.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum length of an encoded message in bytes, including the version byte.
pub const MESSAGE_MAX_BYTES: usize = 64 * 1024;
/// Maximum length of the body part in one relay frame, in bytes.
pub const BODY_FRAME_MAX_BYTES: usize = 16 * 1024;
/// Length of the big-endian length prefix of a message on a stream, in bytes.
pub const PREFIX_BYTES: usize = 4;

/// Reason why a message can't be encoded or decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CodecError {
    /// There is not even a version byte, or the length prefix is 0.
    #[error("the message is empty")]
    Empty,
    /// The sender uses another version of the message format.
    #[error("message format version {0} is not supported")]
    Version(u8),
    /// The length exceeds [`MESSAGE_MAX_BYTES`].
    #[error("the message has {0} bytes, the limit is {MESSAGE_MAX_BYTES}")]
    TooLong(usize),
    /// The `postcard` data can't be decoded, or the value can't be encoded.
    #[error("the message is malformed: {0}")]
    Malformed(String),
    /// Additional bytes follow the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
}

/// Encodes a message with its version byte, for datagrams.
pub fn encode<M>(message: &M) -> Result<Bytes, CodecError>
where
    M: Serialize,
{
    let mut buffer = BytesMut::with_capacity(128);
    encode_into(message, &mut buffer)?;
    Ok(buffer.freeze())
}

/// Encodes a message with a length prefix and its version byte, for streams.
pub fn encode_prefixed<M>(message: &M) -> Result<Bytes, CodecError>
where
    M: Serialize,
{
    let mut buffer = BytesMut::with_capacity(128);
    buffer.put_u32(0);
    encode_into(message, &mut buffer)?;
    let length = (buffer.len() - PREFIX_BYTES) as u32;
    buffer[..PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(buffer.freeze())
}

/// Decodes the length prefix of a message and checks it against [`MESSAGE_MAX_BYTES`].
pub fn decode_prefix(prefix: [u8; PREFIX_BYTES]) -> Result<usize, CodecError> {
    let length = u32::from_be_bytes(prefix) as usize;
    match length {
        0 => Err(CodecError::Empty),
        n if n > MESSAGE_MAX_BYTES => Err(CodecError::TooLong(n)),
        n => Ok(n),
    }
}

/// Decodes one message that must fill `bytes` completely.
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

fn encode_into<M>(message: &M, buffer: &mut BytesMut) -> Result<(), CodecError>
where
    M: Serialize,
{
    let start = buffer.len();
    buffer.put_u8(FORMAT_VERSION);
    postcard::to_io(message, buffer.writer()).map_err(|e| CodecError::Malformed(e.to_string()))?;
    let length = buffer.len() - start;
    if length > MESSAGE_MAX_BYTES {
        Err(CodecError::TooLong(length))
    } else {
        Ok(())
    }
}

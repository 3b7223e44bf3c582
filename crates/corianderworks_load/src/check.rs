//! Checks of a response against its own request.

use bytes::Bytes;
use corianderworks_standin::body::{
    BODY_HASH_HEADER, ECHO_HEADER, REQUEST_HASH_HEADER, SeededBytes,
};
use http::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::mix::Planned;

/// Broken guarantee of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// P2: the response answers another request.
    WrongRequest,
    /// P2: the body has another length than asked for.
    WrongLength,
    /// P2: the body has other bytes than the backend server sent.
    WrongBody,
    /// P2: a success without the headers of a backend server.
    MissingProof,
    /// P2: the backend server received another request body.
    RequestAltered,
    /// P4: a non-idempotent request was executed more than once.
    ExecutedTwice,
    /// P3: a request was refused with `not-run` and executed.
    NotRunYetExecuted,
    /// A request was answered with success and never executed.
    AnsweredYetNotExecuted,
}

impl Violation {
    /// Name of the guarantee on the design page.
    pub fn guarantee(self) -> &'static str {
        match self {
            Violation::WrongRequest
            | Violation::WrongLength
            | Violation::WrongBody
            | Violation::MissingProof
            | Violation::RequestAltered => "P2",
            Violation::ExecutedTwice => "P4",
            Violation::NotRunYetExecuted => "P3",
            Violation::AnsweredYetNotExecuted => "no accepted request dropped",
        }
    }
}

/// Checks a complete response with a success status.
pub fn check_response(
    planned: &Planned,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<(), Violation> {
    let header = |name| headers.get(name).map(|value| value.as_bytes());
    let echo = header(ECHO_HEADER).ok_or(Violation::MissingProof)?;
    if echo != planned.check.as_bytes() {
        return Err(Violation::WrongRequest);
    }
    let announced = header(BODY_HASH_HEADER).ok_or(Violation::MissingProof)?;
    let received = header(REQUEST_HASH_HEADER).ok_or(Violation::MissingProof)?;
    if planned
        .size_bytes
        .is_some_and(|size| size != body.len() as u64)
    {
        return Err(Violation::WrongLength);
    }
    let hash = blake3::hash(body);
    if announced != hash.to_hex().as_bytes() || !is_body_of(planned, hash, body) {
        return Err(Violation::WrongBody);
    }
    if received != blake3::hash(&planned.body).to_hex().as_bytes() {
        return Err(Violation::RequestAltered);
    }
    Ok(())
}

fn is_body_of(planned: &Planned, hash: blake3::Hash, body: &Bytes) -> bool {
    match planned.size_bytes {
        Some(size) => SeededBytes::new(&planned.check, size).hash() == hash,
        None => serde_json::from_slice::<serde_json::Value>(body)
            .is_ok_and(|value| value["check"] == planned.check.as_str()),
    }
}

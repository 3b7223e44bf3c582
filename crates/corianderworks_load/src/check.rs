//! Validation of responses against their requests.

use bytes::Bytes;
use corianderworks_standin::body::{
    BODY_HASH_HEADER, ECHO_HEADER, REQUEST_HASH_HEADER, SeededBytes,
};
use http::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::mix::PlannedRequest;

/// Violation of a guarantee of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// P2: the response belongs to another request.
    WrongRequest,
    /// P2: the response body does not have the requested length.
    WrongLength,
    /// P2: the response body differs from the one that the backend server sent.
    WrongBody,
    /// P2: a response with a success status lacks the check headers of the backend server.
    MissingProof,
    /// P2: the backend server received a different request body.
    RequestAltered,
    /// P4: a non-idempotent request was executed more than once.
    ExecutedTwice,
    /// P3: a request was executed although the caller saw `not-run` or sent nothing.
    NotRunYetExecuted,
    /// A non-idempotent request was answered with success but never executed.
    AnsweredYetNotExecuted,
}

impl Violation {
    /// Name of the violated guarantee, as in the design documentation.
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

/// Checks a complete response with a success status: the echoed check id, the length and hash of
/// the response body, and the hash of the request body that the backend server received.
pub fn check_response(
    planned: &PlannedRequest,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<(), Violation> {
    let header = |name| headers.get(name).map(|value| value.as_bytes());
    let echo = header(ECHO_HEADER).ok_or(Violation::MissingProof)?;
    if echo != planned.check.as_bytes() {
        return Err(Violation::WrongRequest);
    }
    let declared_hash = header(BODY_HASH_HEADER).ok_or(Violation::MissingProof)?;
    let received_hash = header(REQUEST_HASH_HEADER).ok_or(Violation::MissingProof)?;
    if planned
        .size_bytes
        .is_some_and(|size| size != body.len() as u64)
    {
        return Err(Violation::WrongLength);
    }
    let hash = blake3::hash(body);
    if declared_hash != hash.to_hex().as_bytes() || !is_expected_body(planned, hash, body) {
        return Err(Violation::WrongBody);
    }
    if received_hash != blake3::hash(&planned.body).to_hex().as_bytes() {
        return Err(Violation::RequestAltered);
    }
    Ok(())
}

fn is_expected_body(planned: &PlannedRequest, hash: blake3::Hash, body: &Bytes) -> bool {
    match planned.size_bytes {
        Some(size) => SeededBytes::new(&planned.check, size).hash() == hash,
        None => serde_json::from_slice::<serde_json::Value>(body)
            .is_ok_and(|value| value["check"] == planned.check.as_str()),
    }
}

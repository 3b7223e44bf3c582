//! Encodes reports into datagrams.

use bytes::Bytes;
use corianderworks_decision::edge::peer_load::Report;
use corianderworks_wire::codec;

use crate::peers::{DATAGRAM_MAX_BYTES, Message};

/// Largest number of reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 32;

/// Encodes reports into datagrams and halves batches that are too long for one. A single report
/// that is too long is dropped, see [`split`].
pub fn encode(reports: &[Report]) -> Vec<Bytes> {
    let mut encoded = Vec::new();
    for part in reports.chunks(REPORTS_PER_DATAGRAM) {
        match codec::encode(&Message::Reports(part.to_vec())) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MAX_BYTES => encoded.push(bytes),
            Ok(_) if part.len() > 1 => {
                let (first, second) = part.split_at(part.len() / 2);
                encoded.extend(encode(first));
                encoded.extend(encode(second));
            }
            Ok(bytes) => {
                tracing::warn!(bytes = bytes.len(), "fleet: report too long for a datagram");
            }
            Err(error) => tracing::error!(%error, "fleet: cannot encode a report"),
        }
    }
    encoded
}

/// Splits a report that is too long for a datagram into parts with consecutive sequence numbers.
///
/// Only the first part is complete, so the others add to it.
pub fn split(report: Report) -> Vec<Report> {
    let sequence = report.sequence;
    let mut parts = Vec::new();
    split_into(report, &mut parts);
    for (part, sequence) in parts.iter_mut().zip(sequence..) {
        part.sequence = sequence;
    }
    parts
}

fn split_into(mut report: Report, parts: &mut Vec<Report>) {
    if fits_datagram(&report) || longest_list(&report) <= 1 {
        return parts.push(report);
    }
    let rest = Report {
        complete: false,
        store: None,
        in_flight: split_off_half(&mut report.in_flight),
        evidence: split_off_half(&mut report.evidence),
        leaving: split_off_half(&mut report.leaving),
        counts: split_off_half(&mut report.counts),
        quotas: split_off_half(&mut report.quotas),
        ..report
    };
    split_into(report, parts);
    split_into(rest, parts);
}

fn fits_datagram(report: &Report) -> bool {
    if encoded_bytes_max(report) <= DATAGRAM_MAX_BYTES {
        return true;
    }
    let encoded = codec::encode(&Message::Reports(vec![report.clone()]));
    encoded.is_ok_and(|bytes| bytes.len() <= DATAGRAM_MAX_BYTES)
}

/// Upper bound of the encoded length, without encoding the report.
fn encoded_bytes_max(report: &Report) -> usize {
    const OTHER_FIELDS_BYTES: usize = 64;
    const VARINT_BYTES: usize = 5;
    const ORGANISATION_TAG_BYTES: usize = 4;
    OTHER_FIELDS_BYTES
        + report.in_flight.len() * 2 * VARINT_BYTES
        + report.evidence.len() * 3 * VARINT_BYTES
        + report.leaving.len() * VARINT_BYTES
        + report.counts.len() * 5 * VARINT_BYTES
        + report.quotas.len() * (ORGANISATION_TAG_BYTES + 3 * VARINT_BYTES)
}

fn longest_list(report: &Report) -> usize {
    let lengths = [
        report.in_flight.len(),
        report.evidence.len(),
        report.leaving.len(),
        report.counts.len(),
        report.quotas.len(),
    ];
    lengths.into_iter().max().unwrap_or(0)
}

fn split_off_half<T>(list: &mut Vec<T>) -> Vec<T> {
    list.split_off(list.len().div_ceil(2))
}

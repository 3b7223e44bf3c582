//! Reports of daemons at the largest size that the fleet is designed for.

use corianderworks_decision::edge::budget::{Counts, ReportedCounts, ServiceTag};
use corianderworks_decision::edge::fleet::{DaemonStatus, RunKey};
use corianderworks_decision::edge::load_balancer::{Evidence, RelativeLatency};
use corianderworks_decision::edge::peer_load::{PeerLoad, Report, ServerTag};
use corianderworks_decision::edge::quota::{OrganisationTag, ReportedAdmissions};
use corianderworks_edge::peers::{DATAGRAM_MAX_BYTES, Message};
use corianderworks_edge::report_datagrams::{encode, split};
use corianderworks_wire::codec;

const SERVICES: u32 = 150;
const SERVERS: u32 = 4_000;
const ORGANISATIONS: u32 = 19_000;

fn server(number: u32) -> ServerTag {
    ServerTag(u32::MAX - number)
}

fn report(in_flight: u32, observations: u32, services: u32, organisations: u32) -> Report {
    let counts = Counts {
        requests: u32::MAX,
        retries: u32::MAX,
    };
    let reported = ReportedCounts {
        total: counts,
        recent: counts,
    };
    let admissions = ReportedAdmissions {
        admitted_total: u32::MAX,
        admitted_new: i32::MIN,
        refused_new: u32::MAX,
    };
    let success = Evidence::Success(RelativeLatency(u16::MAX));
    Report {
        origin: RunKey(u32::MAX),
        sequence: 7,
        status: DaemonStatus::Ready,
        complete: true,
        in_flight: (0..in_flight).map(|n| (server(n), u16::MAX)).collect(),
        evidence: (0..observations).map(|n| (server(n), success)).collect(),
        leaving: (0..observations / 10).map(server).collect(),
        counts: (0..services)
            .map(|n| (ServiceTag(u32::MAX - n), reported))
            .collect(),
        store: None,
        quotas: (0..organisations)
            .map(|n| (OrganisationTag::of(&n.to_string()), admissions))
            .collect(),
    }
}

/// Sends a report and returns what arrives.
fn send(report: &Report) -> Vec<Report> {
    let mut received = Vec::new();
    for datagram in encode(&split(report.clone())) {
        assert!(datagram.len() <= DATAGRAM_MAX_BYTES);
        match codec::decode(&datagram).expect("a message") {
            Message::Reports(reports) => received.extend(reports),
            other => panic!("{other:?}"),
        }
    }
    received
}

/// Guards against daemons that count as silent because their reports are too long to be sent.
#[test]
fn reports_of_every_size_arrive_whole() {
    for (in_flight, observations, services, organisations) in [
        (0, 0, 0, 0),
        (3, 5, 4, 2),
        (0, 0, SERVICES, 0),
        (0, 600, 0, 0),
        (0, 0, 0, ORGANISATIONS),
        (SERVERS, 0, 0, 0),
        (SERVERS, SERVERS, SERVICES, ORGANISATIONS),
    ] {
        let sent = report(in_flight, observations, services, organisations);
        let received = send(&sent);
        let size = format!("{in_flight}, {observations}, {services}, {organisations}");
        let mut load = PeerLoad::default();
        for part in &received {
            assert!(load.accept_sequence(part), "{size}: {}", part.sequence);
            load.apply(part);
        }
        assert!(received.first().is_some_and(|r| r.complete), "{size}");
        for (tag, in_flight) in &sent.in_flight {
            let expected = u32::from(*in_flight);
            assert_eq!(load.total_in_flight(*tag), expected, "{size}");
        }
        let evidence: Vec<_> = received.iter().flat_map(|r| r.evidence.clone()).collect();
        assert_eq!(evidence, sent.evidence, "{size}");
        let leaving: Vec<_> = received.iter().flat_map(|r| r.leaving.clone()).collect();
        assert_eq!(leaving, sent.leaving, "{size}");
        let counts: Vec<_> = received.iter().flat_map(|r| r.counts.clone()).collect();
        assert_eq!(counts, sent.counts, "{size}");
        let quotas: Vec<_> = received.iter().flat_map(|r| r.quotas.clone()).collect();
        assert_eq!(quotas, sent.quotas, "{size}");
    }
}

#[test]
fn short_reports_are_sent_as_they_are() {
    let sent = report(3, 5, 4, 2);
    assert_eq!(send(&sent), [sent]);
}

/// Guards against longer reports in fleets without organisations: only the length of the empty list
/// is added. The last field of a report is encoded last, so the bytes before it are unchanged.
#[test]
fn a_report_without_organisations_grows_by_one_byte() {
    let report = report(3, 5, 4, 0);
    let encoded = codec::encode(&report).expect("encoded");
    let without_list = codec::encode(&(
        report.origin,
        report.sequence,
        report.status,
        report.complete,
        &report.in_flight,
        &report.evidence,
        &report.leaving,
        &report.counts,
        report.store,
    ));
    let without_list = without_list.expect("encoded");
    assert_eq!(encoded[..encoded.len() - 1], without_list[..]);
}

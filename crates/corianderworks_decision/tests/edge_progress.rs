//! Limits of slow callers, and which of them is closed first.

use std::time::Duration;

use corianderworks_decision::edge::progress::{
    Closing, Holder, PROGRESS_MIN_BYTES, Phase, RequestAdmission, RequestUse, Resource, VmLimits,
    admit_request, closing_order, stall_timeout,
};
use corianderworks_decision::edge::routes::CallerLimits;

const IDLE: Holder = Holder {
    id: 1,
    phase: Phase::Idle,
    progress_bytes: 0,
    held_bytes: 16_384,
    requests: 0,
    runs_unrepeatable: false,
};

fn holder(id: u64, phase: Phase, progress_bytes: u64, held_bytes: usize) -> Holder {
    Holder {
        id,
        phase,
        progress_bytes,
        held_bytes,
        requests: usize::from(phase == Phase::Reply),
        ..IDLE
    }
}

fn order(resource: Resource, holders: &[Holder]) -> Vec<u64> {
    let closed = closing_order(resource, holders);
    closed.iter().map(|(holder, _)| holder.id).collect()
}

/// The holder of the most memory is closed first, not the first of the list.
#[test]
fn least_progress_for_what_is_held_is_closed_first() {
    let holders = [
        IDLE,
        holder(2, Phase::Reply, 0, 1_000_000),
        holder(3, Phase::Reply, 1_000, 1_000_000),
        holder(4, Phase::Head, 500, 50_000),
        holder(5, Phase::Body, 1_000, 2_000_000),
    ];
    assert_eq!(order(Resource::Memory, &holders), [2, 1, 5, 3, 4]);
}

/// A response must not be cut for a connection while an idle one can be closed.
#[test]
fn connections_without_a_response_are_closed_first_for_a_connection() {
    let holders = [
        holder(2, Phase::Reply, 0, 1_000_000),
        holder(4, Phase::Head, 500, 50_000),
        IDLE,
    ];
    assert_eq!(order(Resource::Connections, &holders), [1, 4, 2]);
}

/// An idle connection frees no place at a server.
#[test]
fn connections_without_a_request_are_not_closed_for_a_request() {
    let holders = [IDLE, holder(2, Phase::Reply, 0, 1_000_000)];
    assert_eq!(order(Resource::Requests, &holders), [2]);
}

/// A request that may not run again is lost with its connection.
#[test]
fn connection_with_an_unrepeatable_request_is_closed_last() {
    let unrepeatable = Holder {
        runs_unrepeatable: true,
        ..holder(2, Phase::Reply, 0, 1_000_000)
    };
    let holders = [unrepeatable, holder(3, Phase::Reply, 1_000, 500_000), IDLE];
    for resource in [Resource::Memory, Resource::Connections, Resource::Requests] {
        assert_eq!(order(resource, &holders).last(), Some(&2), "{resource:?}");
    }
}

/// A caller that waits for the daemon isn't slow, and neither is one that reads as fast as it can.
#[test]
fn waiting_and_progressing_connections_are_never_closed() {
    let holders = [
        holder(1, Phase::Waiting, 0, 1_000_000),
        holder(2, Phase::Reply, PROGRESS_MIN_BYTES, 100_000),
        holder(3, Phase::Body, 600_000, 64_000_000),
    ];
    for resource in [Resource::Memory, Resource::Connections, Resource::Requests] {
        assert!(order(resource, &holders).is_empty(), "{resource:?}");
    }
}

/// A body of the largest size at 2 KB/s would keep the memory of bodies for hours.
#[test]
fn progress_has_to_match_what_is_held() {
    let slow = holder(1, Phase::Body, 2 * PROGRESS_MIN_BYTES, 64_000_000);
    assert_eq!(order(Resource::Memory, &[slow]), [1]);
}

/// A refusal is accurate only for requests that have not run.
#[test]
fn only_responses_are_cut() {
    for phase in [Phase::Idle, Phase::Head, Phase::Body, Phase::Reply] {
        let closed = closing_order(Resource::Memory, &[holder(1, phase, 0, 1)]);
        let expected = match phase {
            Phase::Reply => Closing::Abort,
            _ => Closing::Graceful,
        };
        assert_eq!(closed[0].1, expected, "{phase:?}");
    }
}

/// Without pressure the configuration alone says how long a caller may pause.
#[test]
fn stall_timeouts_are_those_of_the_configuration() {
    let limits = CallerLimits {
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
        ..CallerLimits::default()
    };
    let expected = [
        (Phase::Idle, Some(15)),
        (Phase::Head, Some(3)),
        (Phase::Body, Some(15)),
        (Phase::Waiting, None),
        (Phase::Reply, Some(15)),
    ];
    for (phase, seconds) in expected {
        let expected = seconds.map(Duration::from_secs);
        assert_eq!(stall_timeout(phase, &limits), expected, "{phase:?}");
    }
}

const REQUEST: RequestUse = RequestUse {
    requests: 0,
    requests_max: 100,
    memory_pressure: false,
    pending_replies: 0,
    held_bytes: 0,
    held_bytes_max: 1_000_000,
};

/// The reserve above the soft limit is for the first requests of connections.
#[test]
fn pipelined_requests_wait_under_pressure() {
    let pressures = [
        RequestUse {
            requests: 75,
            ..REQUEST
        },
        RequestUse {
            memory_pressure: true,
            ..REQUEST
        },
        RequestUse {
            held_bytes: 1_000_000,
            ..REQUEST
        },
    ];
    for pressure in pressures {
        let pipelined = RequestUse {
            pending_replies: 1,
            ..pressure
        };
        assert_eq!(admit_request(pressure), RequestAdmission::Start);
        assert_eq!(admit_request(pipelined), RequestAdmission::Wait);
    }
    let pipelined = RequestUse {
        pending_replies: 31,
        ..REQUEST
    };
    assert_eq!(admit_request(pipelined), RequestAdmission::Start);
}

#[test]
fn requests_beyond_the_limit_are_refused() {
    let full = RequestUse {
        requests: 100,
        ..REQUEST
    };
    assert_eq!(admit_request(full), RequestAdmission::Refuse);
}

/// The limits together leave room for the process, files, the store and the other daemons.
#[test]
fn limits_fit_into_the_smallest_vm() {
    let limits = VmLimits::new(160_000_000, 4_100);
    assert_eq!(limits.memory_bytes, 100_000_000);
    assert!(limits.request_body_bytes > 64 * 1024 * 1024);
    assert_eq!(limits.caller_descriptors + limits.server_descriptors, 3_900);
    let tiny = VmLimits::new(0, 3);
    assert_eq!(tiny.caller_descriptors, 1);
}

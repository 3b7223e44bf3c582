//! Life cycle of a daemon and the timing of its graceful shutdown.

use std::time::Duration;

use corianderworks_decision::drain::{Lifecycle, LifecycleAction as Act, Phase, Progress};

const KEEP: Duration = Duration::from_secs(30);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn progress(stop_asked: bool, in_flight: usize, permits_held: usize) -> Progress {
    Progress {
        in_force: Some(1),
        stop_asked,
        keep: KEEP,
        in_flight,
        permits_held,
    }
}

/// Guards against a shutdown that interrupts requests, exits while callers still hold the
/// address, or keeps permits locked, at each step of it.
#[test]
fn a_shutdown_takes_each_step_in_order() {
    let steps = [
        (0, progress(false, 0, 0), Act::Serve, Phase::Ready),
        (9, progress(false, 5, 2), Act::Continue, Phase::Ready),
        (10, progress(true, 5, 2), Act::AnnounceLeave, Phase::Leaving),
        (39, progress(true, 0, 0), Act::Continue, Phase::Leaving),
        (40, progress(true, 3, 2), Act::RefuseNew, Phase::Draining),
        (90, progress(true, 1, 2), Act::Continue, Phase::Draining),
        (
            91,
            progress(true, 0, 2),
            Act::ReturnPermits,
            Phase::Draining,
        ),
        (
            92,
            progress(true, 0, 1),
            Act::ReturnPermits,
            Phase::Draining,
        ),
        (93, progress(true, 0, 0), Act::Exit, Phase::Stopped),
        (94, progress(true, 0, 0), Act::Continue, Phase::Stopped),
    ];
    let mut life = Lifecycle::start(at(0));
    for (second, progress, action, phase) in steps {
        let (next, taken) = life.poll(at(second), progress);
        assert_eq!((taken, next.phase()), (action, phase), "at {second} s");
        life = next;
    }
}

/// Guards against a daemon that reports ready without a configuration or can't be stopped.
#[test]
fn a_daemon_without_configuration_is_not_ready_but_stops() {
    let mut waiting = progress(false, 0, 0);
    waiting.in_force = None;
    let (life, action) = Lifecycle::start(at(0)).poll(at(60), waiting);
    assert_eq!((action, life.phase()), (Act::Continue, Phase::Starting));
    assert!(!life.phase().allows().listed);
    waiting.stop_asked = true;
    let (life, action) = life.poll(at(61), waiting);
    assert_eq!((action, life.phase()), (Act::Exit, Phase::Stopped));
}

/// Guards against a phase that accepts what it can no longer complete.
#[test]
fn each_phase_allows_only_what_it_can_complete() {
    // listed, caller requests, relayed requests, new keys, permits, accepted requests
    let table = [
        (Phase::Starting, [false; 6]),
        (Phase::Ready, [true; 6]),
        (Phase::Leaving, [false, true, false, false, false, true]),
        (Phase::Draining, [false, false, false, false, false, true]),
        (Phase::Stopped, [false; 6]),
    ];
    for (phase, expected) in table {
        let a = phase.allows();
        let allowed = [
            a.listed,
            a.caller_requests,
            a.relayed_requests,
            a.new_keys,
            a.permits,
            a.accepted_requests,
        ];
        assert_eq!(allowed, expected, "{phase:?}");
    }
}

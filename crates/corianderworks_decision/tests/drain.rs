//! Transitions of the life cycle of a daemon and the timing of its graceful shutdown.

use std::time::Duration;

use corianderworks_decision::drain::{Lifecycle, LifecycleAction as Action, LifecycleInput, Phase};

const ADDRESS_TTL: Duration = Duration::from_secs(30);

fn after(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn input(stop_requested: bool, in_flight: usize, permits_held: usize) -> LifecycleInput {
    LifecycleInput {
        in_force: Some(1),
        stop_requested,
        address_ttl: ADDRESS_TTL,
        in_flight,
        permits_held,
    }
}

/// Guards against a shutdown that interrupts requests, that exits while callers still use the
/// daemon's address, or that does not return the permits.
#[test]
fn a_shutdown_takes_each_step_in_order() {
    let steps = [
        (0, input(false, 0, 0), Action::Serve, Phase::Ready),
        (9, input(false, 5, 2), Action::Continue, Phase::Ready),
        (10, input(true, 5, 2), Action::AnnounceLeave, Phase::Leaving),
        (39, input(true, 0, 0), Action::Continue, Phase::Leaving),
        (40, input(true, 3, 2), Action::RefuseNew, Phase::Draining),
        (90, input(true, 1, 2), Action::Continue, Phase::Draining),
        (
            91,
            input(true, 0, 2),
            Action::ReturnPermits,
            Phase::Draining,
        ),
        (
            92,
            input(true, 0, 1),
            Action::ReturnPermits,
            Phase::Draining,
        ),
        (93, input(true, 0, 0), Action::Exit, Phase::Stopped),
        (94, input(true, 0, 0), Action::Continue, Phase::Stopped),
    ];
    let mut lifecycle = Lifecycle::start(after(0));
    for (second, input, action, phase) in steps {
        let (next, taken) = lifecycle.poll(after(second), input);
        assert_eq!((taken, next.phase()), (action, phase), "at {second} s");
        lifecycle = next;
    }
}

/// Guards against a daemon that reports ready without a configuration, or that cannot be stopped
/// while it waits for one.
#[test]
fn a_daemon_without_configuration_is_not_ready_but_stops() {
    let mut waiting = input(false, 0, 0);
    waiting.in_force = None;
    let (lifecycle, action) = Lifecycle::start(after(0)).poll(after(60), waiting);
    assert_eq!(
        (action, lifecycle.phase()),
        (Action::Continue, Phase::Starting)
    );
    assert!(!lifecycle.phase().allowed_operations().listed);
    waiting.stop_requested = true;
    let (lifecycle, action) = lifecycle.poll(after(61), waiting);
    assert_eq!((action, lifecycle.phase()), (Action::Exit, Phase::Stopped));
}

/// Guards against a phase that accepts work it can no longer complete.
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
        let operations = phase.allowed_operations();
        let allowed = [
            operations.listed,
            operations.caller_requests,
            operations.relayed_requests,
            operations.new_keys,
            operations.permits,
            operations.accepted_requests,
        ];
        assert_eq!(allowed, expected, "{phase:?}");
    }
}

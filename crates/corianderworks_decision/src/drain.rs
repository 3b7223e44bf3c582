//! Life cycle of a daemon and the timing of a graceful shutdown.
//!
//! Each phase is a type, so an invalid transition does not compile. [`Lifecycle`] holds the
//! current phase of a running daemon.

use std::marker::PhantomData;
use std::time::Duration;

/// The daemon has no configuration yet.
#[derive(Debug)]
pub struct Starting;
/// The daemon accepts requests and is named in address responses.
#[derive(Debug)]
pub struct Ready;
/// New address responses no longer name the daemon, but it still serves callers that know it.
#[derive(Debug)]
pub struct Leaving;
/// The daemon accepts no new request and completes those in flight.
#[derive(Debug)]
pub struct Draining;
/// The daemon has nothing left to do and may exit.
#[derive(Debug)]
pub struct Stopped;

/// A phase as a value, for status pages, logs and the checks of what it allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No configuration is in force; see [`Starting`].
    Starting,
    /// Accepts all requests; see [`Ready`].
    Ready,
    /// No longer listed, but serves its callers; see [`Leaving`].
    Leaving,
    /// Completes accepted requests only; see [`Draining`].
    Draining,
    /// May exit; see [`Stopped`].
    Stopped,
}

/// Operations that a daemon performs in one phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedOperations {
    /// `/readyz` succeeds and address responses of other members may name the daemon.
    pub listed: bool,
    /// New requests of callers are accepted.
    pub caller_requests: bool,
    /// New relayed requests are dispatched to upstreams.
    pub relayed_requests: bool,
    /// Key prefixes are issued. A prefix cannot be used once its daemon has stopped.
    pub new_keys: bool,
    /// Ejection permits are claimed.
    pub permits: bool,
    /// Requests already accepted are completed.
    pub accepted_requests: bool,
}

impl Phase {
    /// Returns the operations that the phase allows.
    pub fn allowed_operations(self) -> AllowedOperations {
        let is_ready = self == Self::Ready;
        AllowedOperations {
            listed: is_ready,
            caller_requests: matches!(self, Self::Ready | Self::Leaving),
            relayed_requests: is_ready,
            new_keys: is_ready,
            permits: is_ready,
            accepted_requests: matches!(self, Self::Ready | Self::Leaving | Self::Draining),
        }
    }
}

/// A daemon in one phase of its life cycle.
#[derive(Debug)]
pub struct InPhase<P> {
    since: Duration,
    /// Earliest end of the phase; equal to `since` for a phase without one.
    earliest_end: Duration,
    phase: PhantomData<P>,
}

impl<P> InPhase<P> {
    fn enter(now: Duration, earliest_end: Duration) -> Self {
        Self {
            since: now,
            earliest_end,
            phase: PhantomData,
        }
    }

    /// Monotonic time at which the phase began.
    pub fn since(&self) -> Duration {
        self.since
    }
}

impl InPhase<Starting> {
    /// Enters the first phase when the process starts.
    pub fn start(now: Duration) -> Self {
        Self::enter(now, now)
    }

    /// Starts to serve. The second argument is the configuration version in force, without which
    /// a daemon must not become ready.
    pub fn ready(self, now: Duration, _in_force: u64) -> InPhase<Ready> {
        InPhase::enter(now, now)
    }

    /// Stops a daemon that has not served yet, so there is nothing to drain.
    pub fn stop_before_ready(self, now: Duration) -> InPhase<Stopped> {
        InPhase::enter(now, now)
    }
}

impl InPhase<Ready> {
    /// Starts the shutdown. Callers use an address response for `address_ttl`, so the daemon
    /// serves them for that long.
    pub fn leave(self, now: Duration, address_ttl: Duration) -> InPhase<Leaving> {
        InPhase::enter(now, now + address_ttl)
    }
}

/// Result of polling a leaving daemon.
#[derive(Debug)]
pub enum LeaveStep {
    /// Address responses that name the daemon may still be in use.
    Wait(InPhase<Leaving>),
    /// All address responses that name the daemon have expired.
    Drain(InPhase<Draining>),
}

impl InPhase<Leaving> {
    /// Starts draining once the last address response has expired.
    pub fn poll(self, now: Duration) -> LeaveStep {
        if now < self.earliest_end {
            LeaveStep::Wait(self)
        } else {
            LeaveStep::Drain(InPhase::enter(now, now))
        }
    }
}

/// Result of polling a draining daemon.
#[derive(Debug)]
pub enum DrainStep {
    /// Requests are still in flight.
    Wait(InPhase<Draining>),
    /// No request is in flight; the permits are to be returned to the platform.
    ReturnPermits(InPhase<Draining>),
    /// Only the announcement of `Left` and the exit remain.
    Stop(InPhase<Stopped>),
}

impl InPhase<Draining> {
    /// Stops once the requests in flight are complete and the permits returned.
    ///
    /// There is no time limit, because a planned stop interrupts no request; requests end by
    /// their own deadlines. Permits that cannot be returned while the platform is down are
    /// released once the VM list no longer contains the VM, so a caller may pass 0 for
    /// `permits_held` after a failed attempt.
    pub fn poll(self, now: Duration, in_flight: usize, permits_held: usize) -> DrainStep {
        match (in_flight, permits_held) {
            (0, 0) => DrainStep::Stop(InPhase::enter(now, now)),
            (0, _) => DrainStep::ReturnPermits(self),
            _ => DrainStep::Wait(self),
        }
    }
}

/// A daemon in any phase of its life cycle.
#[derive(Debug)]
pub enum Lifecycle {
    /// Waits for a configuration.
    Starting(InPhase<Starting>),
    /// Serves until a stop is requested.
    Ready(InPhase<Ready>),
    /// Serves until the address responses that name the daemon have expired.
    Leaving(InPhase<Leaving>),
    /// Waits for requests in flight and the return of permits.
    Draining(InPhase<Draining>),
    /// Makes no further transition.
    Stopped(InPhase<Stopped>),
}

/// State of the daemon that its life cycle depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifecycleInput {
    /// Configuration version in force; `None` until there is one.
    pub in_force: Option<u64>,
    /// Whether a signal or the VM list requested a stop.
    pub stop_requested: bool,
    /// Time for which callers use an address response.
    pub address_ttl: Duration,
    /// Number of requests accepted and not yet answered completely.
    pub in_flight: usize,
    /// Number of ejection permits held.
    pub permits_held: usize,
}

/// What the daemon must do after its life cycle was polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Nothing.
    Continue,
    /// Report that it is ready.
    Serve,
    /// Announce to the members that it leaves, and close idle caller connections.
    AnnounceLeave,
    /// Refuse new requests with `not run`.
    RefuseNew,
    /// Return the permits held to the platform.
    ReturnPermits,
    /// Announce `Left` and exit.
    Exit,
}

impl Lifecycle {
    /// Enters the first phase when the process starts.
    pub fn start(now: Duration) -> Self {
        Self::Starting(InPhase::start(now))
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match self {
            Self::Starting(_) => Phase::Starting,
            Self::Ready(_) => Phase::Ready,
            Self::Leaving(_) => Phase::Leaving,
            Self::Draining(_) => Phase::Draining,
            Self::Stopped(_) => Phase::Stopped,
        }
    }

    /// Makes at most one transition and returns what the daemon must do next.
    pub fn poll(self, now: Duration, input: LifecycleInput) -> (Self, LifecycleAction) {
        use LifecycleAction as Action;
        match self {
            Self::Starting(state) if input.stop_requested => {
                (Self::Stopped(state.stop_before_ready(now)), Action::Exit)
            }
            Self::Starting(state) => match input.in_force {
                Some(version) => (Self::Ready(state.ready(now, version)), Action::Serve),
                None => (Self::Starting(state), Action::Continue),
            },
            Self::Ready(state) if input.stop_requested => (
                Self::Leaving(state.leave(now, input.address_ttl)),
                Action::AnnounceLeave,
            ),
            Self::Leaving(state) => match state.poll(now) {
                LeaveStep::Wait(state) => (Self::Leaving(state), Action::Continue),
                LeaveStep::Drain(state) => (Self::Draining(state), Action::RefuseNew),
            },
            Self::Draining(state) => match state.poll(now, input.in_flight, input.permits_held) {
                DrainStep::Wait(state) => (Self::Draining(state), Action::Continue),
                DrainStep::ReturnPermits(state) => (Self::Draining(state), Action::ReturnPermits),
                DrainStep::Stop(state) => (Self::Stopped(state), Action::Exit),
            },
            other => (other, Action::Continue),
        }
    }
}

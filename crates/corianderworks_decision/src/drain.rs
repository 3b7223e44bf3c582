//! Life cycle of a daemon and the timing of a graceful shutdown.
//!
//! Each phase is a type, so a transition that the life cycle does not have does not compile.
//! [`Lifecycle`] holds whichever phase a running daemon is in.

use std::marker::PhantomData;
use std::time::Duration;

/// The daemon has no configuration yet.
#[derive(Debug)]
pub struct Starting;
/// The daemon serves.
#[derive(Debug)]
pub struct Ready;
/// The daemon is out of new address responses but still serves callers that know it.
#[derive(Debug)]
pub struct Leaving;
/// The daemon accepts no new request and completes those in flight.
#[derive(Debug)]
pub struct Draining;
/// The daemon may exit.
#[derive(Debug)]
pub struct Stopped;

/// Name of a phase, for status pages and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// See [`Starting`].
    Starting,
    /// See [`Ready`].
    Ready,
    /// See [`Leaving`].
    Leaving,
    /// See [`Draining`].
    Draining,
    /// See [`Stopped`].
    Stopped,
}

/// What a phase allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allows {
    /// `/readyz` succeeds and address responses of other members may name the daemon.
    pub listed: bool,
    /// New requests of callers are accepted.
    pub caller_requests: bool,
    /// New relayed requests are dispatched to upstreams.
    pub relayed_requests: bool,
    /// Key prefixes are issued; a prefix is of no use once its daemon has stopped.
    pub new_keys: bool,
    /// Ejection permits are acquired.
    pub permits: bool,
    /// Requests already accepted are completed.
    pub accepted_requests: bool,
}

impl Phase {
    /// What the phase allows.
    pub fn allows(self) -> Allows {
        let serves = self == Self::Ready;
        Allows {
            listed: serves,
            caller_requests: matches!(self, Self::Ready | Self::Leaving),
            relayed_requests: serves,
            new_keys: serves,
            permits: serves,
            accepted_requests: matches!(self, Self::Ready | Self::Leaving | Self::Draining),
        }
    }
}

/// A daemon in one phase of its life cycle.
#[derive(Debug)]
pub struct Life<P> {
    since: Duration,
    /// Earliest end of the phase, where it has one.
    until: Duration,
    phase: PhantomData<P>,
}

impl<P> Life<P> {
    fn enter(now: Duration, until: Duration) -> Self {
        Self {
            since: now,
            until,
            phase: PhantomData,
        }
    }

    /// When the phase began.
    pub fn since(&self) -> Duration {
        self.since
    }
}

impl Life<Starting> {
    /// Starts the process.
    pub fn start(now: Duration) -> Self {
        Self::enter(now, now)
    }

    /// Begins to serve, which needs a configuration version in force.
    pub fn ready(self, now: Duration, _in_force: u64) -> Life<Ready> {
        Life::enter(now, now)
    }

    /// Stops before having served; there is nothing to drain.
    pub fn abandon(self, now: Duration) -> Life<Stopped> {
        Life::enter(now, now)
    }
}

impl Life<Ready> {
    /// Announces the leave. Callers keep an address response for `keep`, so the daemon serves
    /// them for that long.
    pub fn leave(self, now: Duration, keep: Duration) -> Life<Leaving> {
        Life::enter(now, now + keep)
    }
}

/// Result of asking a leaving daemon to go on.
#[derive(Debug)]
pub enum LeaveStep {
    /// Address responses that name the daemon may still be in use.
    Wait(Life<Leaving>),
    /// No caller uses the daemon any more.
    Drain(Life<Draining>),
}

impl Life<Leaving> {
    /// Moves on to draining once the last address response has expired.
    pub fn poll(self, now: Duration) -> LeaveStep {
        if now < self.until {
            LeaveStep::Wait(self)
        } else {
            LeaveStep::Drain(Life::enter(now, now))
        }
    }
}

/// Result of asking a draining daemon to go on.
#[derive(Debug)]
pub enum DrainStep {
    /// Requests are in flight.
    Wait(Life<Draining>),
    /// No request is in flight; the permits go back to the platform.
    ReturnPermits(Life<Draining>),
    /// Nothing is left to do but to announce `Left` and exit.
    Stop(Life<Stopped>),
}

impl Life<Draining> {
    /// Moves on once the requests in flight are complete and the permits returned.
    ///
    /// There is no time limit, because a planned stop interrupts no request; requests end by
    /// their own deadlines. Permits that can't be returned while the platform is down are
    /// released through the VM list, so a caller may report 0 held after a failed attempt.
    pub fn poll(self, now: Duration, in_flight: usize, permits_held: usize) -> DrainStep {
        match (in_flight, permits_held) {
            (0, 0) => DrainStep::Stop(Life::enter(now, now)),
            (0, _) => DrainStep::ReturnPermits(self),
            _ => DrainStep::Wait(self),
        }
    }
}

/// A running daemon's phase, whichever it is.
#[derive(Debug)]
pub enum Lifecycle {
    /// See [`Starting`].
    Starting(Life<Starting>),
    /// See [`Ready`].
    Ready(Life<Ready>),
    /// See [`Leaving`].
    Leaving(Life<Leaving>),
    /// See [`Draining`].
    Draining(Life<Draining>),
    /// See [`Stopped`].
    Stopped(Life<Stopped>),
}

/// What the daemon knows about itself when its life cycle is polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Configuration version in force.
    pub in_force: Option<u64>,
    /// Whether a stop was asked for, by a signal or by the VM list.
    pub stop_asked: bool,
    /// Lifetime of an address response.
    pub keep: Duration,
    /// Requests accepted and not yet answered completely.
    pub in_flight: usize,
    /// Ejection permits held.
    pub permits_held: usize,
}

/// What the daemon does after its life cycle was polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Nothing changed.
    Continue,
    /// Reports ready.
    Serve,
    /// Announces the leave to members and closes idle caller connections.
    AnnounceLeave,
    /// Refuses new requests with `not run`.
    RefuseNew,
    /// Returns the permits held.
    ReturnPermits,
    /// Announces `Left` and exits.
    Exit,
}

impl Lifecycle {
    /// Starts the process.
    pub fn start(now: Duration) -> Self {
        Self::Starting(Life::start(now))
    }

    /// Name of the phase.
    pub fn phase(&self) -> Phase {
        match self {
            Self::Starting(_) => Phase::Starting,
            Self::Ready(_) => Phase::Ready,
            Self::Leaving(_) => Phase::Leaving,
            Self::Draining(_) => Phase::Draining,
            Self::Stopped(_) => Phase::Stopped,
        }
    }

    /// Makes at most one transition and says what follows from it.
    pub fn poll(self, now: Duration, progress: Progress) -> (Self, LifecycleAction) {
        use LifecycleAction as Act;
        match self {
            Self::Starting(life) if progress.stop_asked => {
                (Self::Stopped(life.abandon(now)), Act::Exit)
            }
            Self::Starting(life) => match progress.in_force {
                Some(version) => (Self::Ready(life.ready(now, version)), Act::Serve),
                None => (Self::Starting(life), Act::Continue),
            },
            Self::Ready(life) if progress.stop_asked => (
                Self::Leaving(life.leave(now, progress.keep)),
                Act::AnnounceLeave,
            ),
            Self::Leaving(life) => match life.poll(now) {
                LeaveStep::Wait(life) => (Self::Leaving(life), Act::Continue),
                LeaveStep::Drain(life) => (Self::Draining(life), Act::RefuseNew),
            },
            Self::Draining(life) => {
                match life.poll(now, progress.in_flight, progress.permits_held) {
                    DrainStep::Wait(life) => (Self::Draining(life), Act::Continue),
                    DrainStep::ReturnPermits(life) => (Self::Draining(life), Act::ReturnPermits),
                    DrainStep::Stop(life) => (Self::Stopped(life), Act::Exit),
                }
            }
            other => (other, Act::Continue),
        }
    }
}

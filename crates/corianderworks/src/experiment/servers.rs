//! Simulated backend servers with scripted faults.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Median service time; a probe of the platform's backend servers takes about as long.
pub const MEDIAN_SERVICE_TIME: Duration = Duration::from_millis(25);
/// Standard deviation of the logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.35;
/// Time until the response of a server that fails immediately.
const FAST_FAILURE_TIME: Duration = Duration::from_millis(2);
/// Network round-trip time of a request and its response.
const NETWORK_TIME: Duration = Duration::from_millis(1);
/// Fraction of responses that are errors independently of the scripted faults.
const BACKGROUND_ERROR_RATE: f64 = 0.001;
/// Fraction of responses that take 10 to 30 times as long independently of the scripted faults.
const OUTLIER_RATE: f64 = 0.0002;
/// Number of requests that a server queues per slot before it sheds load.
const QUEUE_PER_SLOT: usize = 4;
/// Factor on the service time of a server that has just started.
const COLD_FACTOR: f64 = 4.0;
/// Time from the start of a server until it is warm.
const COLD_TIME: Duration = Duration::from_secs(5);

/// Kind of failure of a server or of a path to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Every response is a server error, sent immediately.
    Errors,
    /// The server sends no responses.
    Stall,
    /// Service times are multiplied by this factor.
    Slow(f64),
    /// Responses are cut off before their end.
    Truncate,
    /// Alternates between failing with errors and working, each for this half period.
    Flap(Duration),
    /// Responses to the daemon with this index are lost.
    PathLoss(usize),
    /// Responses are lost on connections that the daemon with this index opened before the fault.
    SilentConnections(usize),
    /// Responses are delayed until the pause ends.
    Pause,
}

impl Fault {
    /// True when the fault makes the server itself unhealthy; path faults and short pauses don't.
    pub fn is_server_fault(self) -> bool {
        !matches!(
            self,
            Self::PathLoss(_) | Self::SilentConnections(_) | Self::Pause
        )
    }
}

/// A fault with the interval in which it is active.
#[derive(Debug, Clone, Copy)]
pub struct TimedFault {
    /// Kind of failure.
    pub fault: Fault,
    /// Start, inclusive.
    pub from: Duration,
    /// End, exclusive.
    pub until: Duration,
}

/// Kind of response that a server sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// Successful response with its whole body.
    Complete,
    /// Response with status 500.
    Error,
    /// Response that is cut off before its end.
    Truncated,
}

/// What a server does with a request that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// Runs it in a free slot.
    Running,
    /// Queues it until a slot is free.
    Waiting,
    /// Refuses it because the queue is full.
    Shed,
}

/// Simulated backend server.
#[derive(Debug)]
pub struct Server {
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Number of requests that are running.
    pub running: u32,
    /// Attempts that wait for a slot, in order of arrival.
    pub waiting: VecDeque<u64>,
    /// Last scripted fault, which may have ended; `None` before the first.
    pub last_fault: Option<TimedFault>,
    /// Start time of a server that started cold during the run.
    pub cold_since: Option<Duration>,
    /// Time of the drain signal.
    pub draining_since: Option<Duration>,
}

impl Server {
    /// Creates a healthy, warm server.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            waiting: VecDeque::new(),
            last_fault: None,
            cold_since: None,
            draining_since: None,
        }
    }

    /// Runs, queues or sheds an attempt.
    pub fn accept(&mut self, attempt: u64) -> SendResult {
        if self.running < self.slots {
            self.running += 1;
            SendResult::Running
        } else if self.waiting.len() < self.slots as usize * QUEUE_PER_SLOT {
            self.waiting.push_back(attempt);
            SendResult::Waiting
        } else {
            SendResult::Shed
        }
    }

    /// Removes an attempt and returns the waiting one that takes over its slot, if any.
    pub fn remove(&mut self, attempt: u64) -> Option<u64> {
        if let Some(index) = self.waiting.iter().position(|a| *a == attempt) {
            self.waiting.remove(index);
            return None;
        }
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// True while a fault of the server itself is active.
    pub fn unhealthy(&self, now: Duration) -> bool {
        self.last_fault
            .is_some_and(|a| a.fault.is_server_fault() && now >= a.from && now < a.until)
    }

    /// Draws the response time and kind for a request that starts to run; `None` when the daemon
    /// receives no response.
    pub fn respond(
        &self,
        rng: &mut Pcg64Mcg,
        now: Duration,
        daemon: usize,
        connection_opened: Duration,
        service_time_factor: f64,
    ) -> Option<(Duration, ResponseKind)> {
        let mut factor = service_time_factor;
        if self.cold_since.is_some_and(|from| now < from + COLD_TIME) {
            factor *= COLD_FACTOR;
        }
        if rng.random_bool(OUTLIER_RATE) {
            factor *= rng.random_range(10.0..30.0);
        }
        let mut response = ResponseKind::Complete;
        if rng.random_bool(BACKGROUND_ERROR_RATE) {
            response = ResponseKind::Error;
        }
        let mut delay = NETWORK_TIME;
        if let Some(active_fault) = self.last_fault.filter(|a| now >= a.from && now < a.until) {
            let elapsed = now - active_fault.from;
            match active_fault.fault {
                Fault::Errors => return Some((FAST_FAILURE_TIME, ResponseKind::Error)),
                Fault::Flap(half_period)
                    if (elapsed.as_millis() / half_period.as_millis()).is_multiple_of(2) =>
                {
                    return Some((FAST_FAILURE_TIME, ResponseKind::Error));
                }
                Fault::Stall => return None,
                Fault::PathLoss(affected) if affected == daemon => return None,
                Fault::SilentConnections(affected)
                    if affected == daemon && connection_opened <= active_fault.from =>
                {
                    return None;
                }
                Fault::Slow(slowdown) => factor *= slowdown,
                Fault::Truncate => response = ResponseKind::Truncated,
                Fault::Pause => delay += active_fault.until - now,
                _ => {}
            }
        }
        Some((service_time(rng).mul_f64(factor) + delay, response))
    }
}

/// Draws a log-normally distributed service time with the Box-Muller transform.
fn service_time(rng: &mut Pcg64Mcg) -> Duration {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    MEDIAN_SERVICE_TIME.mul_f64((SERVICE_SIGMA * normal).exp())
}

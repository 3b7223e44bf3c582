//! Fake backend servers with scripted faults.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Median service time; a probe of the platform's backend servers takes about as long.
pub const SERVICE_TIME: Duration = Duration::from_millis(25);
/// Spread of the service time (standard deviation of its logarithm).
const SERVICE_SIGMA: f64 = 0.35;
/// Time of a response that fails at once.
const FAST_FAILURE: Duration = Duration::from_millis(2);
/// Network time of a request and its response.
const NETWORK: Duration = Duration::from_millis(1);
/// Share of responses that are errors without a fault.
const BACKGROUND_ERRORS: f64 = 0.001;
/// Share of responses that take 10 to 30 times as long without a fault.
const OUTLIERS: f64 = 0.0002;
/// Requests that a server queues per slot before it sheds load.
const QUEUE_PER_SLOT: usize = 4;
/// Slowness of a server that has just started.
const COLD_FACTOR: f64 = 4.0;
/// Time until a started server is warm.
const COLD_TIME: Duration = Duration::from_secs(5);

/// What is wrong with a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Every response is a server error.
    Errors,
    /// No response.
    Stall,
    /// Responses take longer by a factor.
    Slow(f64),
    /// Responses end early.
    Truncate,
    /// Alternates between errors and health with this half period.
    Flap(Duration),
    /// Responses to one daemon are lost on the way.
    Path(usize),
    /// Connections of one daemon that are open now go silent.
    Silent(usize),
    /// Everything waits until the pause ends.
    Pause,
}

impl Fault {
    /// True when the server itself is unhealthy.
    pub fn of_server(self) -> bool {
        !matches!(self, Self::Path(_) | Self::Silent(_) | Self::Pause)
    }
}

/// A fault in force.
#[derive(Debug, Clone, Copy)]
pub struct Active {
    /// What is wrong.
    pub fault: Fault,
    /// Start.
    pub from: Duration,
    /// End.
    pub until: Duration,
}

/// How a request ends at the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Complete response.
    Complete,
    /// Server error.
    Error,
    /// Incomplete response.
    Truncated,
}

/// Result of a request that was sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// It runs.
    Running,
    /// It waits at the server.
    Waiting,
    /// The server sheds it.
    Shed,
}

/// One fake server.
#[derive(Debug)]
pub struct Server {
    /// Its slots.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: VecDeque<u64>,
    /// The fault in force.
    pub active: Option<Active>,
    /// When it started, for a cold one.
    pub cold_from: Option<Duration>,
    /// When it announced that it leaves.
    pub leaving_from: Option<Duration>,
}

impl Server {
    /// Creates a healthy, warm server.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            waiting: VecDeque::new(),
            active: None,
            cold_from: None,
            leaving_from: None,
        }
    }

    /// Accepts a request.
    pub fn send(&mut self, attempt: u64) -> Sent {
        if self.running < self.slots {
            self.running += 1;
            Sent::Running
        } else if self.waiting.len() < self.slots as usize * QUEUE_PER_SLOT {
            self.waiting.push_back(attempt);
            Sent::Waiting
        } else {
            Sent::Shed
        }
    }

    /// Removes a request; returns the one that runs next in its place.
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

    /// True while the server itself is unhealthy.
    pub fn unhealthy(&self, now: Duration) -> bool {
        self.active
            .is_some_and(|a| a.fault.of_server() && now >= a.from && now < a.until)
    }

    /// Time and ending of a request that starts to run, `None` when no response comes.
    pub fn respond(
        &self,
        rng: &mut Pcg64Mcg,
        now: Duration,
        daemon: usize,
        connection_opened: Duration,
        service_factor: f64,
    ) -> Option<(Duration, Ending)> {
        let mut factor = service_factor;
        if self.cold_from.is_some_and(|from| now < from + COLD_TIME) {
            factor *= COLD_FACTOR;
        }
        if rng.random_bool(OUTLIERS) {
            factor *= rng.random_range(10.0..30.0);
        }
        let mut ending = Ending::Complete;
        if rng.random_bool(BACKGROUND_ERRORS) {
            ending = Ending::Error;
        }
        let mut extra = NETWORK;
        if let Some(active) = self.active.filter(|a| now >= a.from && now < a.until) {
            let since = now - active.from;
            match active.fault {
                Fault::Errors => return Some((FAST_FAILURE, Ending::Error)),
                Fault::Flap(half) if (since.as_millis() / half.as_millis()).is_multiple_of(2) => {
                    return Some((FAST_FAILURE, Ending::Error));
                }
                Fault::Stall => return None,
                Fault::Path(affected) if affected == daemon => return None,
                Fault::Silent(affected)
                    if affected == daemon && connection_opened <= active.from =>
                {
                    return None;
                }
                Fault::Slow(by) => factor *= by,
                Fault::Truncate => ending = Ending::Truncated,
                Fault::Pause => extra += active.until - now,
                _ => {}
            }
        }
        Some((service_time(rng).mul_f64(factor) + extra, ending))
    }
}

/// Draws a log-normal service time.
fn service_time(rng: &mut Pcg64Mcg) -> Duration {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    SERVICE_TIME.mul_f64((SERVICE_SIGMA * normal).exp())
}

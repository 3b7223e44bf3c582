//! Queue places, executions and service times of the backend stand-in.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::backend_server::{Asked, Backend};
use crate::backend_settings::{Mode, ServiceTime};

/// Place in the queue for a slot.
pub(crate) struct Waiting<'a>(&'a Backend);

impl<'a> Waiting<'a> {
    pub(crate) fn enter(backend: &'a Backend) -> Option<Self> {
        let waiting = &mut backend.state.lock().stats.waiting;
        if *waiting >= backend.settings.queue as u64 {
            return None;
        }
        *waiting += 1;
        Some(Self(backend))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state.lock().stats.waiting -= 1;
    }
}

/// Execution in progress; dropped before its end when the client goes away.
pub(crate) struct Run {
    backend: Arc<Backend>,
    ended: bool,
}

impl Run {
    pub(crate) fn start(backend: Arc<Backend>, asked: &Asked) -> Self {
        backend.record(asked, |execution| execution.started += 1);
        backend.state.lock().stats.started += 1;
        Self {
            backend,
            ended: false,
        }
    }

    pub(crate) fn finish(mut self, asked: &Asked) {
        self.ended = true;
        self.backend
            .record(asked, |execution| execution.finished += 1);
        self.backend.state.lock().stats.finished += 1;
    }

    pub(crate) fn stopped_at_deadline(mut self) {
        self.ended = true;
        self.backend.state.lock().stats.deadline_stopped += 1;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.backend.state.lock().stats.cancelled += 1;
        }
    }
}

pub(crate) fn is_flapped_down(mode: Mode, age: Duration) -> bool {
    let Mode::Flap { up_ms, down_ms } = mode else {
        return false;
    };
    let period = (up_ms + down_ms).max(1);
    age.as_millis() as u64 % period >= up_ms
}

/// Draws from the log-normal distribution by the Box-Muller transform.
pub(crate) fn service_time(settings: ServiceTime, random: &mut Pcg64Mcg) -> Duration {
    let normal = if settings.sigma > 0.0 {
        let (u, v): (f64, f64) = (random.random(), random.random());
        (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    } else {
        0.0
    };
    let ms = settings.median_ms * (settings.sigma * normal).exp();
    Duration::from_secs_f64(ms.clamp(0.0, settings.max_ms.max(0.0)) / 1_000.0)
}

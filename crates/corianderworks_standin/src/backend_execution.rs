//! Guards for queued and executing requests of the backend stand-in, and the
//! sampling of service times.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::backend_server::{Backend, RequestInfo};
use crate::backend_settings::{Mode, ServiceTime};

/// Counts a request as waiting for a slot until dropped.
pub(crate) struct QueuedGuard<'a>(&'a Backend);

impl<'a> QueuedGuard<'a> {
    pub(crate) fn try_enter(backend: &'a Backend) -> Option<Self> {
        let waiting = &mut backend.state.lock().stats.waiting;
        if *waiting >= backend.settings.queue as u64 {
            return None;
        }
        *waiting += 1;
        Some(Self(backend))
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().stats.waiting -= 1;
    }
}

/// Execution in progress. Counted as cancelled if dropped before its end, which
/// happens when the client disconnects.
pub(crate) struct ExecutionGuard {
    backend: Arc<Backend>,
    ended: bool,
}

impl ExecutionGuard {
    pub(crate) fn start(backend: Arc<Backend>, info: &RequestInfo) -> Self {
        backend.record_execution(info, |execution| execution.started += 1);
        backend.state.lock().stats.started += 1;
        Self {
            backend,
            ended: false,
        }
    }

    pub(crate) fn finish(mut self, info: &RequestInfo) {
        self.ended = true;
        self.backend
            .record_execution(info, |execution| execution.finished += 1);
        self.backend.state.lock().stats.finished += 1;
    }

    pub(crate) fn stop_at_deadline(mut self) {
        self.ended = true;
        self.backend.state.lock().stats.deadline_stopped += 1;
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.backend.state.lock().stats.cancelled += 1;
        }
    }
}

pub(crate) fn is_flap_failing(mode: Mode, elapsed: Duration) -> bool {
    let Mode::Flap { up_ms, down_ms } = mode else {
        return false;
    };
    let period = (up_ms + down_ms).max(1);
    elapsed.as_millis() as u64 % period >= up_ms
}

/// Samples the log-normal distribution with the Box-Muller transform.
pub(crate) fn sample_service_time(settings: ServiceTime, rng: &mut Pcg64Mcg) -> Duration {
    let normal = if settings.sigma > 0.0 {
        let (u, v): (f64, f64) = (rng.random(), rng.random());
        (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    } else {
        0.0
    };
    let ms = settings.median_ms * (settings.sigma * normal).exp();
    Duration::from_secs_f64(ms.clamp(0.0, settings.max_ms.max(0.0)) / 1_000.0)
}

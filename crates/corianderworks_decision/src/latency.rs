//! Recent latencies as a histogram of logarithmic buckets.

use std::time::Duration;

/// Buckets for each power of two, a resolution of about 19%.
const SUB_BUCKETS: usize = 4;
/// Powers of two in microseconds, up to more than an hour.
const OCTAVES: usize = 32;
/// Age at which a generation of samples is replaced.
const GENERATION: Duration = Duration::from_secs(10);
/// Samples needed before a quantile is meaningful.
const SAMPLES_MIN: u32 = 20;

/// Latencies of the last 10 to 20 seconds.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    counts: [Vec<u32>; 2],
    total: [u32; 2],
    started: Duration,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        let empty = || vec![0; OCTAVES * SUB_BUCKETS];
        Self {
            counts: [empty(), empty()],
            total: [0; 2],
            started: Duration::ZERO,
        }
    }
}

fn bucket(latency: Duration) -> usize {
    let us = latency.as_micros().clamp(4, u128::from(u32::MAX)) as u64;
    let octave = 63 - us.leading_zeros() as usize;
    octave * SUB_BUCKETS + ((us >> (octave - 2)) & 3) as usize
}

fn upper_edge(bucket: usize) -> Duration {
    let (octave, sub) = (bucket / SUB_BUCKETS, bucket % SUB_BUCKETS);
    Duration::from_micros(((5 + sub as u64) << octave) / SUB_BUCKETS as u64)
}

impl LatencyWindow {
    /// Adds one latency.
    pub fn record(&mut self, now: Duration, latency: Duration) {
        if now >= self.started + GENERATION {
            // An old generation stays as the second half, so that quantiles never jump to nothing.
            self.counts.swap(0, 1);
            self.total.swap(0, 1);
            self.counts[0].fill(0);
            self.total[0] = 0;
            self.started = now;
        }
        self.counts[0][bucket(latency)] += 1;
        self.total[0] += 1;
    }

    /// Upper edge of the bucket that holds the quantile, `None` with too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let total = self.total[0] + self.total[1];
        if total < SAMPLES_MIN {
            return None;
        }
        let rank = (f64::from(total) * quantile).ceil() as u32;
        let mut seen = 0;
        (0..OCTAVES * SUB_BUCKETS)
            .find(|&i| {
                seen += self.counts[0][i] + self.counts[1][i];
                seen >= rank
            })
            .map(upper_edge)
    }
}

//! Sliding histogram of recent latencies with logarithmic buckets.

use std::time::Duration;

/// Buckets per power of two, for a resolution of about 19%.
const SUB_BUCKETS: usize = 4;
/// Number of powers of two covered, in microseconds: up to more than an hour.
const OCTAVES: usize = 32;
/// Time after which a new generation of samples is started.
const GENERATION_LENGTH: Duration = Duration::from_secs(10);
/// Minimum number of samples for a meaningful quantile.
const SAMPLES_MIN: u32 = 20;

/// Histogram of the latencies of the last 10 to 20 seconds, in a current and a previous generation.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    counts: [Vec<u32>; 2],
    total: [u32; 2],
    generation_start: Duration,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        let empty = || vec![0; OCTAVES * SUB_BUCKETS];
        Self {
            counts: [empty(), empty()],
            total: [0; 2],
            generation_start: Duration::ZERO,
        }
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = latency.as_micros().clamp(4, u128::from(u32::MAX)) as u64;
    let octave = 63 - micros.leading_zeros() as usize;
    octave * SUB_BUCKETS + ((micros >> (octave - 2)) & 3) as usize
}

fn bucket_upper_bound(bucket: usize) -> Duration {
    let (octave, sub_bucket) = (bucket / SUB_BUCKETS, bucket % SUB_BUCKETS);
    Duration::from_micros(((5 + sub_bucket as u64) << octave) / SUB_BUCKETS as u64)
}

impl LatencyWindow {
    /// Records one latency, and starts a new generation when the current one is too old.
    pub fn record(&mut self, now: Duration, latency: Duration) {
        if now >= self.generation_start + GENERATION_LENGTH {
            // The previous generation still counts, so that quantiles remain available after the
            // switch.
            self.counts.swap(0, 1);
            self.total.swap(0, 1);
            self.counts[0].fill(0);
            self.total[0] = 0;
            self.generation_start = now;
        }
        self.counts[0][bucket(latency)] += 1;
        self.total[0] += 1;
    }

    /// Returns the upper bound of the bucket that contains the quantile (0 to 1), `None` with too
    /// few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let total = self.total[0] + self.total[1];
        if total < SAMPLES_MIN {
            return None;
        }
        let rank = (f64::from(total) * quantile).ceil() as u32;
        let mut cumulative = 0;
        (0..OCTAVES * SUB_BUCKETS)
            .find(|&i| {
                cumulative += self.counts[0][i] + self.counts[1][i];
                cumulative >= rank
            })
            .map(bucket_upper_bound)
    }
}

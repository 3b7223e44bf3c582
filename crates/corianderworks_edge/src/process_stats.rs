//! Resources that the process uses, as the operating system counts them.

use std::time::Duration;

/// Unit of the processor times of `/proc`; the same on all architectures of Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Resources used by this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessStats {
    /// Memory that is resident, in bytes.
    pub resident_bytes: u64,
    /// Processor time since the start.
    pub processor_time: Duration,
    /// Open file descriptors.
    pub open_descriptors: u64,
}

impl ProcessStats {
    /// Reads the current values. Returns `None` if the operating system doesn't provide them.
    pub fn read() -> Option<Self> {
        let status = std::fs::read_to_string("/proc/self/status").ok()?;
        let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
        let descriptors = std::fs::read_dir("/proc/self/fd").ok()?;
        Some(Self {
            resident_bytes: resident_bytes(&status)?,
            processor_time: processor_time(&stat)?,
            open_descriptors: descriptors.count() as u64,
        })
    }
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Returns the sum of fields 14 and 15: the ticks in user and in kernel mode.
fn processor_time(stat: &str) -> Option<Duration> {
    // The name of the program, field 2, may contain blanks and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(11);
    let mut next_ticks = || times.next()?.parse::<u32>().ok();
    Some(CLOCK_TICK * (next_ticks()? + next_ticks()?))
}

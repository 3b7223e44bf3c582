//! Use of ejection permits by their holder, and ejections that other homes announced.
//!
//! An ejection is valid only while its permit is announced. The receiving home measures the TTL
//! from its own stamp that the holder returned, which is older than the announcement. So no
//! delay, repetition or pause makes it apply an ejection for longer than the TTL after the holder
//! ended it. The holder waits that TTL before it uses the permit again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch_types::{Announcement, PermitNumber, Phase};
use crate::ids::{DaemonKey, DaemonRun, UpstreamKey};

/// Time for which an announced ejection is valid without renewal.
pub const ANNOUNCE_TTL: Duration = Duration::from_secs(5);
/// Interval at which an announcement is renewed.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of announcements sent in quick succession after a change, because datagrams get lost.
const FAST_ANNOUNCEMENTS: u32 = 4;
/// Interval of the announcements after a change.
const FAST_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(40);

/// Current use of a held permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitUse {
    /// The upstream that the permit ejects.
    pub upstream: UpstreamKey,
    /// Whether the upstream receives nothing or trial requests.
    pub phase: Phase,
    /// Start of the phase, in this home's monotonic time.
    pub since: Duration,
}

#[derive(Debug, Clone)]
struct HeldPermit {
    permit_use: Option<PermitUse>,
    /// Time until which another home may still apply the permit's last use.
    blocked_until: Duration,
    last_announced: Option<Duration>,
    /// Number of announcements since the last change.
    announce_count: u32,
}

impl HeldPermit {
    fn reset_announcements(&mut self) {
        self.last_announced = None;
        self.announce_count = 0;
    }

    fn announcements_due(&self, now: Duration) -> bool {
        let interval = if self.announce_count < FAST_ANNOUNCEMENTS {
            FAST_ANNOUNCE_INTERVAL
        } else {
            ANNOUNCE_INTERVAL
        };
        self.last_announced.is_none_or(|at| now >= at + interval)
    }
}

/// Permits that this home holds, with their current uses and the stamps of the other homes.
#[derive(Debug, Default)]
pub struct HeldPermits {
    held: BTreeMap<PermitNumber, HeldPermit>,
    sequence: u64,
    stamps: BTreeMap<DaemonRun, Duration>,
}

impl HeldPermits {
    /// Replaces the set of held permits; returns the upstreams that lost permits had ejected.
    pub fn set(&mut self, now: Duration, permits: &[PermitNumber]) -> Vec<UpstreamKey> {
        let mut restored = Vec::new();
        self.held.retain(|permit, held| {
            let keep = permits.contains(permit);
            if !keep {
                restored.extend(held.permit_use.map(|permit_use| permit_use.upstream));
            }
            keep
        });
        for permit in permits {
            // Another home may still apply the previous holder's last announcement.
            self.held.entry(*permit).or_insert(HeldPermit {
                permit_use: None,
                blocked_until: now + ANNOUNCE_TTL,
                last_announced: None,
                announce_count: 0,
            });
        }
        restored
    }

    /// Records a stamp of another home, to be returned in announcements; drops the stamps of that
    /// home's earlier runs.
    pub fn stamp(&mut self, from: DaemonRun, stamp: Duration) {
        let known = self.stamps.entry(from).or_default();
        *known = (*known).max(stamp);
        self.stamps
            .retain(|run, _| run.daemon != from.daemon || run.incarnation >= from.incarnation);
    }

    /// The permit with which this home ejected an upstream, and its use.
    pub fn permit_for(&self, upstream: UpstreamKey) -> Option<(PermitNumber, PermitUse)> {
        self.uses()
            .find(|(_, permit_use)| permit_use.upstream == upstream)
    }

    /// Held permits in ascending order, used or not.
    pub fn permit_numbers(&self) -> impl Iterator<Item = PermitNumber> + '_ {
        self.held.keys().copied()
    }

    /// Held permits that eject an upstream, with their uses.
    pub fn uses(&self) -> impl Iterator<Item = (PermitNumber, PermitUse)> + '_ {
        self.held
            .iter()
            .filter_map(|(p, held)| Some((*p, held.permit_use?)))
    }

    /// True when the permit is in use or another home may still apply its last use.
    pub fn used_or_blocked(&self, now: Duration, permit: PermitNumber) -> bool {
        let held = self.held.get(&permit);
        held.is_some_and(|held| held.permit_use.is_some() || now < held.blocked_until)
    }

    /// Ejects an upstream with the lowest free permit that `usable` accepts; `None` when there is
    /// none.
    pub fn apply<F>(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        usable: F,
    ) -> Option<PermitNumber>
    where
        F: Fn(PermitNumber) -> bool,
    {
        let (permit, held) = self.held.iter_mut().find(|(p, held)| {
            held.permit_use.is_none() && now >= held.blocked_until && usable(**p)
        })?;
        held.permit_use = Some(PermitUse {
            upstream,
            phase: Phase::Out,
            since: now,
        });
        held.reset_announcements();
        Some(*permit)
    }

    /// Starts another phase of an ejection, which is announced at once.
    pub fn set_phase(&mut self, now: Duration, permit: PermitNumber, phase: Phase) {
        if let Some(held) = self.held.get_mut(&permit) {
            if let Some(permit_use) = &mut held.permit_use {
                permit_use.phase = phase;
                permit_use.since = now;
            }
            held.reset_announcements();
        }
    }

    /// Ends the use of a permit, which is blocked for the TTL afterwards.
    pub fn end(&mut self, now: Duration, permit: PermitNumber) {
        if let Some(held) = self.held.get_mut(&permit)
            && held.permit_use.take().is_some()
        {
            held.blocked_until = now + ANNOUNCE_TTL;
            held.reset_announcements();
        }
    }

    /// Returns the announcements that are due, after a change and every second, and counts them
    /// as sent.
    pub fn announcements_due(&mut self, now: Duration, own_run: DaemonRun) -> Vec<Announcement> {
        let mut announcements_due = Vec::new();
        for (permit, held) in &mut self.held {
            if !held.announcements_due(now) {
                continue;
            }
            held.last_announced = Some(now);
            held.announce_count += 1;
            self.sequence += 1;
            announcements_due.push(Announcement {
                permit: *permit,
                sequence: self.sequence,
                upstream: held.permit_use.map(|permit_use| permit_use.upstream),
                phase: held
                    .permit_use
                    .map_or(Phase::Out, |permit_use| permit_use.phase),
                free: held.permit_use.is_none() && now >= held.blocked_until,
                holder: own_run,
                echoes: self.stamps.iter().map(|(run, at)| (*run, *at)).collect(),
            });
        }
        announcements_due
    }
}

#[derive(Debug, Clone)]
struct ReceivedAnnouncement {
    sequence: u64,
    permit_use: Option<PermitUse>,
    free: bool,
    valid_until: Duration,
}

/// Ejections that other homes announced, by permit and holder.
#[derive(Debug, Default)]
pub struct AnnouncedEjections {
    received: BTreeMap<(PermitNumber, DaemonRun), ReceivedAnnouncement>,
}

impl AnnouncedEjections {
    /// Records an announcement, unless one of the same permit and holder with the same or a higher
    /// sequence number is known.
    pub fn record(&mut self, now: Duration, own_run: DaemonRun, announcement: &Announcement) {
        let echo = announcement.echoes.iter().find(|(run, _)| *run == own_run);
        let valid_until = echo.map_or(Duration::ZERO, |(_, stamp)| *stamp + ANNOUNCE_TTL);
        let key = (announcement.permit, announcement.holder);
        let old = self.received.get(&key);
        if old.is_some_and(|old| announcement.sequence <= old.sequence) {
            return;
        }
        let before = old.and_then(|old| old.permit_use);
        let permit_use = announcement.upstream.map(|upstream| PermitUse {
            upstream,
            phase: announcement.phase,
            since: before
                .filter(|b| b.upstream == upstream && b.phase == announcement.phase)
                .map_or(now, |b| b.since),
        });
        self.received.insert(
            key,
            ReceivedAnnouncement {
                sequence: announcement.sequence,
                permit_use,
                free: announcement.free,
                valid_until,
            },
        );
    }

    /// Announced ejections whose TTL has not expired, ordered by permit and holder.
    pub fn valid_ejections(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (PermitNumber, DaemonRun, PermitUse)> + '_ {
        self.received
            .iter()
            .filter(move |(_, received)| now < received.valid_until)
            .filter_map(|((permit, holder), received)| {
                Some((*permit, *holder, received.permit_use?))
            })
    }

    /// A holder that announced a free permit within the TTL.
    pub fn holder_of_free_permit(&self, now: Duration) -> Option<DaemonKey> {
        let mut recent = self
            .received
            .iter()
            .filter(|(_, received)| received.free && now < received.valid_until);
        recent.next().map(|((_, holder), _)| holder.daemon)
    }

    /// Marks a holder's free permit as requested, so that it is not requested for two upstreams.
    pub fn mark_requested(&mut self, holder: DaemonKey) {
        let free = self
            .received
            .iter_mut()
            .find(|((_, run), received)| run.daemon == holder && received.free);
        if let Some((_, received)) = free {
            received.free = false;
        }
    }

    /// Removes announcements that expired long ago. Their sequence numbers are no longer needed,
    /// because an announcement that old carries no stamp that is still valid.
    pub fn remove_expired(&mut self, now: Duration) {
        self.received
            .retain(|_, received| now < received.valid_until + 12 * ANNOUNCE_TTL);
    }
}

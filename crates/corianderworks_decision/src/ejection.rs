//! Use of ejection permits: by their holder, and as announced to the other homes.
//!
//! An ejection counts only while its permit is announced. A home counts the TTL from its own
//! stamp that the holder returned, which is older than the announcement, so no delay, repetition
//! or pause lets it honour an ejection for longer than the TTL after the holder gave it up. The
//! holder waits that TTL before it uses the permit again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch_types::{Announcement, PermitNumber, Phase};
use crate::ids::{DaemonKey, DaemonRun, UpstreamKey};

/// Time for which an announced ejection is honoured without renewal.
pub const ANNOUNCE_TTL: Duration = Duration::from_secs(5);
/// Interval of the renewal.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Announcements of a change that follow each other at once, because datagrams get lost.
const REPEATS: u32 = 4;
/// Interval of these.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Current use of a held permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Use {
    /// The ejected upstream.
    pub upstream: UpstreamKey,
    /// Its phase.
    pub phase: Phase,
    /// Start of the phase.
    pub since: Duration,
}

#[derive(Debug, Clone)]
struct Held {
    used: Option<Use>,
    /// The last use may be honoured somewhere until then.
    blocked_until: Duration,
    announced_at: Option<Duration>,
    /// Announcements since the last change.
    announced: u32,
}

impl Held {
    fn changed(&mut self) {
        self.announced_at = None;
        self.announced = 0;
    }

    fn due(&self, now: Duration) -> bool {
        let interval = if self.announced < REPEATS {
            REPEAT_INTERVAL
        } else {
            ANNOUNCE_INTERVAL
        };
        self.announced_at.is_none_or(|at| now >= at + interval)
    }
}

/// Permits that this home holds.
#[derive(Debug, Default)]
pub struct HeldPermits {
    held: BTreeMap<PermitNumber, Held>,
    sequence: u64,
    stamps: BTreeMap<DaemonRun, Duration>,
}

impl HeldPermits {
    /// Replaces the set of held permits; returns the upstreams that a lost permit had ejected.
    pub fn set(&mut self, now: Duration, permits: &[PermitNumber]) -> Vec<UpstreamKey> {
        let mut restored = Vec::new();
        self.held.retain(|permit, held| {
            let keep = permits.contains(permit);
            if !keep {
                restored.extend(held.used.map(|used| used.upstream));
            }
            keep
        });
        for permit in permits {
            // The previous holder's last announcement may still be honoured.
            self.held.entry(*permit).or_insert(Held {
                used: None,
                blocked_until: now + ANNOUNCE_TTL,
                announced_at: None,
                announced: 0,
            });
        }
        restored
    }

    /// Records the newest stamp of another home.
    pub fn stamp(&mut self, from: DaemonRun, stamp: Duration) {
        let known = self.stamps.entry(from).or_default();
        *known = (*known).max(stamp);
        self.stamps
            .retain(|run, _| run.daemon != from.daemon || run.incarnation >= from.incarnation);
    }

    /// The permit and use of an upstream that this home ejected.
    pub fn of(&self, upstream: UpstreamKey) -> Option<(PermitNumber, Use)> {
        self.uses().find(|(_, used)| used.upstream == upstream)
    }

    /// All held permits.
    pub fn numbers(&self) -> impl Iterator<Item = PermitNumber> + '_ {
        self.held.keys().copied()
    }

    /// All permits in use.
    pub fn uses(&self) -> impl Iterator<Item = (PermitNumber, Use)> + '_ {
        self.held
            .iter()
            .filter_map(|(p, held)| Some((*p, held.used?)))
    }

    /// True when the permit is in use or its last use may still be honoured.
    pub fn busy(&self, now: Duration, permit: PermitNumber) -> bool {
        let held = self.held.get(&permit);
        held.is_some_and(|held| held.used.is_some() || now < held.blocked_until)
    }

    /// Uses the lowest free permit that `usable` accepts.
    pub fn apply<F>(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        usable: F,
    ) -> Option<PermitNumber>
    where
        F: Fn(PermitNumber) -> bool,
    {
        let (permit, held) = self
            .held
            .iter_mut()
            .find(|(p, held)| held.used.is_none() && now >= held.blocked_until && usable(**p))?;
        held.used = Some(Use {
            upstream,
            phase: Phase::Out,
            since: now,
        });
        held.changed();
        Some(*permit)
    }

    /// Changes the phase of a use.
    pub fn set_phase(&mut self, now: Duration, permit: PermitNumber, phase: Phase) {
        if let Some(held) = self.held.get_mut(&permit) {
            if let Some(used) = &mut held.used {
                used.phase = phase;
                used.since = now;
            }
            held.changed();
        }
    }

    /// Ends the use of a permit.
    pub fn end(&mut self, now: Duration, permit: PermitNumber) {
        if let Some(held) = self.held.get_mut(&permit)
            && held.used.take().is_some()
        {
            held.blocked_until = now + ANNOUNCE_TTL;
            held.changed();
        }
    }

    /// Announcements that are due: after a change and every second.
    pub fn due(&mut self, now: Duration, me: DaemonRun) -> Vec<Announcement> {
        let mut due = Vec::new();
        for (permit, held) in &mut self.held {
            if !held.due(now) {
                continue;
            }
            held.announced_at = Some(now);
            held.announced += 1;
            self.sequence += 1;
            due.push(Announcement {
                permit: *permit,
                sequence: self.sequence,
                upstream: held.used.map(|used| used.upstream),
                phase: held.used.map_or(Phase::Out, |used| used.phase),
                free: held.used.is_none() && now >= held.blocked_until,
                holder: me,
                echoes: self.stamps.iter().map(|(run, at)| (*run, *at)).collect(),
            });
        }
        due
    }
}

#[derive(Debug, Clone)]
struct Heard {
    sequence: u64,
    used: Option<Use>,
    free: bool,
    honoured_until: Duration,
}

/// Ejections that other homes announced.
#[derive(Debug, Default)]
pub struct AnnouncedEjections {
    heard: BTreeMap<(PermitNumber, DaemonRun), Heard>,
}

impl AnnouncedEjections {
    /// Records an announcement; an older one than the last of its holder is ignored.
    pub fn record(&mut self, now: Duration, me: DaemonRun, announcement: &Announcement) {
        let echo = announcement.echoes.iter().find(|(run, _)| *run == me);
        let honoured_until = echo.map_or(Duration::ZERO, |(_, stamp)| *stamp + ANNOUNCE_TTL);
        let key = (announcement.permit, announcement.holder);
        let old = self.heard.get(&key);
        if old.is_some_and(|old| announcement.sequence <= old.sequence) {
            return;
        }
        let before = old.and_then(|old| old.used);
        let used = announcement.upstream.map(|upstream| Use {
            upstream,
            phase: announcement.phase,
            since: before
                .filter(|b| b.upstream == upstream && b.phase == announcement.phase)
                .map_or(now, |b| b.since),
        });
        self.heard.insert(
            key,
            Heard {
                sequence: announcement.sequence,
                used,
                free: announcement.free,
                honoured_until,
            },
        );
    }

    /// Ejections honoured now; `Phase::Out` comes first for an upstream with two permits.
    pub fn honoured(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (PermitNumber, DaemonRun, Use)> + '_ {
        self.heard
            .iter()
            .filter(move |(_, heard)| now < heard.honoured_until)
            .filter_map(|((permit, holder), heard)| Some((*permit, *holder, heard.used?)))
    }

    /// A holder that announced a free permit recently.
    pub fn free_holder(&self, now: Duration) -> Option<DaemonKey> {
        let mut recent = self
            .heard
            .iter()
            .filter(|(_, heard)| heard.free && now < heard.honoured_until);
        recent.next().map(|((_, holder), _)| holder.daemon)
    }

    /// Records that a holder was asked, so that its permit is not counted on twice.
    pub fn asked(&mut self, holder: DaemonKey) {
        let free = self
            .heard
            .iter_mut()
            .find(|((_, run), heard)| run.daemon == holder && heard.free);
        if let Some((_, heard)) = free {
            heard.free = false;
        }
    }

    /// Forgets holders that were silent for long; their sequence numbers are no longer needed
    /// because an announcement that old carries no stamp that is still valid.
    pub fn forget_old(&mut self, now: Duration) {
        self.heard
            .retain(|_, heard| now < heard.honoured_until + 12 * ANNOUNCE_TTL);
    }
}

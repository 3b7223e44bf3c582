//! Fleet-wide quotas of organisations without a central counter.
//!
//! Designed for organisations whose requests arrive at all daemons, fewer than one in ten seconds at
//! each. Every daemon keeps a token bucket per organisation from which the admissions of all daemons
//! are deducted: its own at once, those of the others when their reports arrive, up to 200 ms
//! later. An organisation that suddenly sends many times its rate would be admitted by all daemons
//! during that time. A daemon therefore admits a request with a probability that falls when the
//! bucket holds fewer tokens than the other daemons get requests within that time.
//!
//! A daemon that doesn't receive the reports of some others uses only the part of the rate and of
//! the bucket that belongs to the daemons whose reports arrive. A bucket starts without the burst,
//! which the fleet may have used before all daemons restarted, except at the fleet's first start.
//!
//! `docs/design/organisation-quotas.md` compares this with other designs.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fleet::RunKey;
use super::organisations::RateLimit;
use super::report_coverage::ReportCoverage;

/// Bounds on the requests of an organisation, over all daemons: in any `window`, at most
/// (rate × `window` + burst) × (1 + `overage`) + `tolerance`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Allowed excess as a share of the limit.
    pub overage: f64,
    /// Allowed excess in requests.
    pub tolerance: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.1,
            tolerance: 20.0,
        }
    }
}

/// Time without a report after which the quota of a daemon counts as used by that daemon. Two
/// heartbeats and the delay of 200 ms between domains pass in 1.2 s, so that the loss of one
/// heartbeat doesn't count. After a partition, both sides admit the whole rate for this time, and
/// the smaller side needs the rest of the window of 5 s to make up for it.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_300);
/// Resolution at which the tokens used within [`SILENT_AFTER`] are counted. Those used before other
/// daemons became silent shouldn't count, since they are known to both sides.
const USED_PERIOD: Duration = Duration::from_millis(434);
/// Number of periods that cover [`SILENT_AFTER`] besides the current one, and that one.
const USED_PERIODS: usize = 4;
/// Time after a pause of the process in which a daemon uses only its own share. Reports that had
/// been waiting are read in it, and all daemons send a heartbeat.
const CATCH_UP_TIME: Duration = Duration::from_millis(700);
/// Time over which the demand at other daemons is counted: the largest delay of a report, plus the
/// time between two reports of a daemon.
const DEMAND_TIME: Duration = Duration::from_millis(250);
/// Number of tokens that must be left per request that other daemons are expected to get before
/// their reports arrive, for a request to be admitted in any case. Above 1 because demand that rises
/// is noticed late.
const TOKENS_PER_UNSEEN_REQUEST: f64 = 1.25;
/// Time for which the largest demand at other daemons is remembered. Well over [`SILENT_AFTER`]: if
/// the demand falls because of a partition, both sides would admit the whole rate until then, which
/// came to 3,198 of 3,188 allowed requests in a simulated window.
const PEAK_DEMAND_TIME: Duration = Duration::from_secs(6);
/// Factor on the share of requests that the rate allows at the largest demand. Above 1 because that
/// demand is higher than the mean by chance.
const PEAK_MARGIN: f64 = 1.15;
/// Share of a bucket above which the largest demand doesn't matter. The smaller side of a partition
/// of a third reaches it after 1.15 s.
const OPEN_SHARE: f64 = 0.75;
/// Share of the tolerance that is added to the burst. It lets organisations with small limits send
/// a few requests at a time without refusals; the rest is for late reports and partitions. With 0.4,
/// a partition at the start of a surge came to 123 of 126 allowed requests in a simulated window, with
/// 0.3 to 120.
const TOLERANCE_SHARE_IN_BURST: f64 = 0.3;
/// Time for which the rate fills the buckets of daemons that restart. All daemons may restart at
/// once; what the organisations could send while they were down, and a tenth of the limit of the
/// window, is left then.
const RESTART_RATE_TIME: Duration = Duration::from_millis(800);
/// Number of daemons that is assumed until the registered ones are known.
const UNKNOWN_FLEET_DAEMONS: usize = 430;
/// Share of the daemons that must have reported until the start of a daemon is over.
const STARTED_SHARE: f64 = 0.95;
/// Time in units of a share of 1 that fills every bucket.
const SHARE_TIME_FULL_S: f64 = 1e6;

/// Bounds of the retry time of a refused request, before jitter.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Interval of the removal of unused state.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which the bucket of an organisation without requests is removed if it is full.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);
/// Time after which the last total of another daemon is removed. Shorter than
/// [`BUCKET_RETENTION`], because totals start again at 0 after the removal of a bucket.
const PEER_TOTAL_RETENTION: Duration = Duration::from_secs(30);
/// Largest number of stored totals of other daemons, of about 30 bytes each. Beyond it, the loss of
/// a report is not compensated by the next one.
const PEER_TOTALS_MAX: usize = 262_144;

/// Hash that identifies an organisation in reports; the same on all daemons. Encoded in four bytes,
/// since a number of variable length would mostly take five.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrganisationTag([u8; 4]);

impl OrganisationTag {
    /// Computes the tag from the name of an organisation.
    pub fn of(organisation: &str) -> Self {
        Self((xxhash_rust::xxh3::xxh3_64(organisation.as_bytes()) as u32).to_le_bytes())
    }
}

/// Counts of an organisation in a daemon's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedAdmissions {
    /// Admitted requests since the daemon began to track the organisation, less those that were
    /// given back; wraps around.
    pub admitted_total: u32,
    /// Same since the last report, for daemons that have no earlier total. Negative if more were
    /// given back than admitted.
    pub admitted_new: i32,
    /// Requests refused since the last report.
    pub refused_new: u32,
}

/// Token of an admitted request, to be given back if the request is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a request that is not run gives its token back"]
pub struct QuotaToken(OrganisationTag);

/// Decision whether a request is within the quota of its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The organisation has no limit.
    Unlimited,
    /// The request is within the quota and uses this token.
    Admit(QuotaToken),
    /// The quota is used up.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Limited {
    name: Arc<str>,
    limit: RateLimit,
    /// Requests refused by this daemon since its start.
    refused: u64,
}

#[derive(Debug)]
struct Bucket {
    /// Tokens left; negative while admissions exceed the limit.
    tokens: f64,
    /// Share time of the last refill, in s.
    refilled_at_s: f64,
    /// Requests at other daemons, with a weight that decays over [`DEMAND_TIME`].
    peer_demand: f64,
    peer_demand_at: Duration,
    /// Largest demand at other daemons, which decays over [`PEAK_DEMAND_TIME`].
    peak_demand: f64,
    /// Tokens used in the current and in previous periods of [`USED_PERIOD`], latest first.
    used: [f64; USED_PERIODS],
    /// Tokens that the full bucket could not take, in the same periods.
    overflow: [f64; USED_PERIODS],
    period_started_at: Duration,
    admitted_total: u32,
    admitted_new: i32,
    refused_new: u32,
    /// Whether the organisation is listed in [`Quotas::changed`].
    is_changed: bool,
    used_at: Duration,
}

impl Bucket {
    /// Creates a bucket; the refill adds the tokens since the start of the share time.
    fn new(tokens: f64, now: Duration) -> Self {
        Self {
            tokens,
            refilled_at_s: 0.0,
            peer_demand: 0.0,
            peer_demand_at: now,
            peak_demand: 0.0,
            used: [0.0; USED_PERIODS],
            overflow: [0.0; USED_PERIODS],
            period_started_at: now,
            admitted_total: 0,
            admitted_new: 0,
            refused_new: 0,
            is_changed: false,
            used_at: now,
        }
    }

    fn refill(&mut self, limit: RateLimit, supply: Supply) {
        let share_time_s = (supply.share_time_s - self.refilled_at_s).max(0.0);
        self.refilled_at_s = supply.share_time_s;
        let tokens = self.tokens + limit.rate_per_s * share_time_s;
        self.start_period(supply.now);
        self.overflow[0] += (tokens - supply.capacity(limit)).max(0.0);
        self.set_tokens(tokens, limit, supply);
    }

    /// Sets the tokens within their range. Debt is limited to what half a window repays, so that no
    /// error blocks an organisation for longer.
    fn set_tokens(&mut self, tokens: f64, limit: RateLimit, supply: Supply) {
        let debt_max = limit.rate_per_s * supply.debt_time_s + supply.extra_burst;
        self.tokens = tokens.max(-debt_max).min(supply.capacity(limit));
    }

    /// Deducts admitted requests, or adds those that were given back if `admitted` is negative.
    fn deduct(&mut self, admitted: f64, limit: RateLimit, supply: Supply) {
        self.refill(limit, supply);
        self.set_tokens(self.tokens - admitted, limit, supply);
        self.used[0] += admitted;
    }

    /// Keeps `kept_share` of what there was to use within [`SILENT_AFTER`], and up to a
    /// [`USED_PERIOD`] before it, less what was used of it. The rest belongs to others.
    fn keep_share(&mut self, kept_share: f64, limit: RateLimit, supply: Supply) {
        self.refill(limit, supply);
        let used: f64 = self.used.iter().sum();
        let overflow: f64 = self.overflow.iter().sum();
        let whole = self.tokens + used + overflow;
        // Debt is not shared.
        let lost = (1.0 - kept_share) * whole.max(0.0);
        self.peak_demand *= kept_share;
        let tokens = self.tokens + overflow - lost;
        self.overflow = [0.0; USED_PERIODS];
        self.overflow[0] = (tokens - supply.capacity(limit)).max(0.0);
        self.set_tokens(tokens, limit, supply);
    }

    fn start_period(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.period_started_at);
        if elapsed < USED_PERIOD {
            return;
        }
        let periods = (elapsed.as_micros() / USED_PERIOD.as_micros()) as usize;
        self.used
            .rotate_right(periods.min(USED_PERIODS) % USED_PERIODS);
        self.used[..periods.min(USED_PERIODS)].fill(0.0);
        self.overflow
            .rotate_right(periods.min(USED_PERIODS) % USED_PERIODS);
        self.overflow[..periods.min(USED_PERIODS)].fill(0.0);
        self.period_started_at = now;
    }

    fn mark_changed(&mut self, tag: OrganisationTag, changed: &mut Vec<OrganisationTag>) {
        if !self.is_changed {
            self.is_changed = true;
            changed.push(tag);
        }
    }

    /// Returns the requests that other daemons got within the last [`DEMAND_TIME`].
    fn peer_demand(&mut self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.peer_demand_at).as_secs_f64();
        self.peer_demand_at = self.peer_demand_at.max(now);
        self.peer_demand *= (-age_s / DEMAND_TIME.as_secs_f64()).exp();
        self.peak_demand *= (-age_s / PEAK_DEMAND_TIME.as_secs_f64()).exp();
        self.peer_demand
    }

    fn add_peer_demand(&mut self, requests: f64, now: Duration) {
        self.peer_demand = self.peer_demand(now) + requests;
        self.peak_demand = self.peak_demand.max(self.peer_demand);
    }

    /// Returns the largest probability of an admission. It keeps to the recent demand while the
    /// bucket is not nearly full, because a demand that falls may mean that reports no longer arrive.
    fn admission_max(&self, limit: RateLimit, supply: Supply) -> f64 {
        let excess = limit.rate_per_s * SILENT_AFTER.as_secs_f64();
        let is_covered = excess <= supply.tolerance;
        if is_covered || self.tokens >= OPEN_SHARE * supply.capacity(limit) {
            return 1.0;
        }
        let supplied = limit.rate_per_s * supply.share * DEMAND_TIME.as_secs_f64();
        // A peak of few requests is mostly chance.
        let peak = self.peak_demand - self.peak_demand.sqrt();
        PEAK_MARGIN * supplied / peak.max(f64::MIN_POSITIVE)
    }
}

/// What a daemon may use of the rates at a time.
#[derive(Debug, Clone, Copy)]
struct Supply {
    now: Duration,
    /// Share of the fleet whose admissions are known, in 0..=1.
    share: f64,
    /// Integral of the share over the time since the start, in s.
    share_time_s: f64,
    /// Allowed excess in requests.
    tolerance: f64,
    /// Tokens added to every burst.
    extra_burst: f64,
    /// Time in which the largest debt is repaid at the full rate, in s.
    debt_time_s: f64,
}

impl Supply {
    fn capacity(&self, limit: RateLimit) -> f64 {
        (limit.burst + self.extra_burst) * self.share
    }
}

/// How this daemon started, while it has not heard from most of the others yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// With the whole fleet for the first time; no daemon has used any tokens.
    First,
    /// After an earlier run, in which the fleet may have used all tokens. The burst is taken as used
    /// up, but not the part of the tolerance that is added to it: twice this part is less than the
    /// tolerance. [`RESTART_RATE_TIME`] adds to it.
    Restart,
    /// The start is over.
    Over,
}

impl Start {
    /// Returns the tokens with which a bucket starts.
    fn tokens(self, limit: RateLimit, supply: Supply) -> f64 {
        match self {
            Self::First => supply.capacity(limit),
            Self::Restart => {
                let rate_tokens = limit.rate_per_s * RESTART_RATE_TIME.as_secs_f64();
                let tokens = (rate_tokens + supply.extra_burst) * supply.share;
                tokens.min(supply.capacity(limit))
            }
            Self::Over => 0.0,
        }
    }
}

/// Last total that another daemon reported for an organisation.
#[derive(Debug, Clone, Copy)]
struct PeerTotal {
    admitted_total: u32,
    received_at_s: u32,
}

/// A daemon's view of the quotas of all organisations.
#[derive(Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    coverage: ReportCoverage,
    share: f64,
    start: Start,
    share_time_s: f64,
    /// Time up to which `share_time_s` was summed.
    share_time_at: Duration,
    limited: HashMap<OrganisationTag, Limited>,
    buckets: HashMap<OrganisationTag, Bucket>,
    /// Organisations with changes since the last report.
    changed: Vec<OrganisationTag>,
    peer_totals: HashMap<(RunKey, OrganisationTag), PeerTotal>,
    swept_at: Duration,
}

impl Quotas {
    /// Creates the quotas of a daemon that starts now and knows no other daemon. Buckets start nearly
    /// empty.
    pub fn new(bounds: QuotaBounds, now: Duration) -> Self {
        Self {
            bounds,
            coverage: ReportCoverage::new(CATCH_UP_TIME),
            share: 1.0 / UNKNOWN_FLEET_DAEMONS as f64,
            start: Start::Restart,
            share_time_s: 0.0,
            share_time_at: now,
            limited: HashMap::new(),
            buckets: HashMap::new(),
            changed: Vec::new(),
            peer_totals: HashMap::new(),
            swept_at: now,
        }
    }

    /// Creates the quotas at the first start of the fleet, with full buckets.
    pub fn at_first_start(bounds: QuotaBounds, now: Duration) -> Self {
        Self {
            start: Start::First,
            share_time_s: SHARE_TIME_FULL_S,
            ..Self::new(bounds, now)
        }
    }

    /// Sets the limits of all organisations that have one. Buckets above a lowered limit are reduced
    /// to it at once.
    pub fn set_limits<I>(&mut self, limits: I, now: Duration)
    where
        I: IntoIterator<Item = (Arc<str>, RateLimit)>,
    {
        let mut previous = std::mem::take(&mut self.limited);
        let limited = limits.into_iter().map(|(name, limit)| {
            let tag = OrganisationTag::of(&name);
            let refused = previous.get(&tag).map_or(0, |l| l.refused);
            let limited = Limited {
                name,
                limit,
                refused,
            };
            (tag, limited)
        });
        self.limited = limited.collect();
        let is_any_removed = previous.keys().any(|tag| !self.limited.contains_key(tag));
        let supply = self.supply(now);
        let limited = &self.limited;
        self.buckets.retain(|tag, bucket| {
            let Some(new) = limited.get(tag) else {
                return false;
            };
            let old = previous.remove(tag).map_or(new.limit, |l| l.limit);
            if old != new.limit {
                bucket.refill(old, supply);
                bucket.set_tokens(bucket.tokens, new.limit, supply);
            }
            true
        });
        if is_any_removed {
            let buckets = &self.buckets;
            self.changed.retain(|tag| buckets.contains_key(tag));
            self.peer_totals
                .retain(|(_, tag), _| limited.contains_key(tag));
        }
    }

    /// Whether any organisation has a limit.
    pub fn is_in_use(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Sets from how many daemons reports arrived within [`SILENT_AFTER`]. Both numbers include this
    /// daemon; `known` is `None` until the registered daemons are known. Must be called several
    /// times per heartbeat interval; a much longer time between two calls counts as a pause of the
    /// process.
    pub fn set_reporting_daemons(&mut self, reporting: usize, known: Option<usize>, now: Duration) {
        self.handle_pause(now);
        self.accrue_share_time(now);
        let known = known.unwrap_or(UNKNOWN_FLEET_DAEMONS.max(reporting));
        self.coverage.update(reporting, known, now);
        let share = match self.coverage.misses_reports(now) {
            true => self.coverage.own_share(),
            false => self.coverage.share(),
        };
        let previous_share = std::mem::replace(&mut self.share, share.min(1.0));
        if self.share < previous_share {
            self.deduct_lost_share(previous_share, now);
        } else if self.share > previous_share && self.start != Start::Over {
            self.add_gained_share(previous_share, now);
        }
        if now.saturating_sub(self.swept_at) >= SWEEP_INTERVAL {
            self.sweep(now);
        }
    }

    /// Adds the first tokens of daemons that reported for the first time since this daemon started;
    /// what they have used of them is in their reports.
    fn add_gained_share(&mut self, previous_share: f64, now: Duration) {
        let supply = self.supply(now);
        for (tag, bucket) in &mut self.buckets {
            let Some(Limited { limit, .. }) = self.limited.get(tag) else {
                continue;
            };
            let gained = self.start.tokens(*limit, supply) * (1.0 - previous_share / supply.share);
            bucket.set_tokens(bucket.tokens + gained, *limit, supply);
        }
        if self.share >= STARTED_SHARE {
            self.start = Start::Over;
        }
    }

    /// Deducts what daemons that have become silent may use: their part of the tokens, and of what
    /// was used since their last reports.
    fn deduct_lost_share(&mut self, previous_share: f64, now: Duration) {
        self.start = Start::Over;
        let kept_share = self.share / previous_share;
        let supply = self.supply(now);
        for (tag, bucket) in &mut self.buckets {
            if let Some(Limited { limit, .. }) = self.limited.get(tag) {
                bucket.keep_share(kept_share, *limit, supply);
            }
        }
    }

    /// Empties the buckets if this process was paused, because others may have used their tokens.
    fn handle_pause(&mut self, now: Duration) {
        if !self.coverage.note_pause(now) {
            return;
        }
        (self.share_time_s, self.share_time_at) = (0.0, now);
        self.share = self.coverage.own_share();
        self.start = Start::Over;
        for bucket in self.buckets.values_mut() {
            bucket.refilled_at_s = 0.0;
            bucket.tokens = bucket.tokens.min(0.0);
        }
    }

    fn accrue_share_time(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.share_time_at).as_secs_f64();
        self.share_time_s += self.share * elapsed_s;
        self.share_time_at = self.share_time_at.max(now);
    }

    fn supply(&mut self, now: Duration) -> Supply {
        self.accrue_share_time(now);
        Supply {
            now,
            share: self.share,
            share_time_s: self.share_time_s,
            tolerance: self.bounds.tolerance,
            extra_burst: self.bounds.tolerance * TOLERANCE_SHARE_IN_BURST,
            debt_time_s: self.bounds.window.as_secs_f64() / 2.0,
        }
    }

    /// Decides whether a request of an organisation is admitted, and counts it. `random` and
    /// `jitter` are in 0..1; `jitter` distributes the retries of refused callers.
    pub fn admit(
        &mut self,
        organisation: &str,
        (random, jitter): (f64, f64),
        now: Duration,
    ) -> QuotaDecision {
        let tag = OrganisationTag::of(organisation);
        if !self.limited.contains_key(&tag) {
            return QuotaDecision::Unlimited;
        }
        self.handle_pause(now);
        let supply = self.supply(now);
        let Some(limited) = self.limited.get_mut(&tag) else {
            return QuotaDecision::Unlimited;
        };
        let limit = limited.limit;
        let start_tokens = self.start.tokens(limit, supply);
        let bucket = self.buckets.entry(tag);
        let bucket = bucket.or_insert_with(|| Bucket::new(start_tokens, now));
        bucket.used_at = now;
        bucket.refill(limit, supply);
        bucket.mark_changed(tag, &mut self.changed);
        let unseen = TOKENS_PER_UNSEEN_REQUEST * bucket.peer_demand(now);
        // Less than a token, such as the share of a daemon without reports, is the probability of an
        // admission.
        let needed = unseen.max(1.0);
        let is_within = random < bucket.admission_max(limit, supply);
        if is_within && random * needed < bucket.tokens {
            bucket.deduct(1.0, limit, supply);
            bucket.admitted_total = bucket.admitted_total.wrapping_add(1);
            bucket.admitted_new = bucket.admitted_new.saturating_add(1);
            return QuotaDecision::Admit(QuotaToken(tag));
        }
        bucket.refused_new = bucket.refused_new.saturating_add(1);
        limited.refused += 1;
        let missing = needed.min(supply.capacity(limit)) - bucket.tokens;
        let refill_s = missing.max(0.0) / (limit.rate_per_s * supply.share);
        QuotaDecision::Refuse {
            retry_after: retry_after(refill_s, jitter),
        }
    }

    /// Takes back the token of a request that was not run.
    pub fn give_back(&mut self, QuotaToken(tag): QuotaToken, now: Duration) {
        let supply = self.supply(now);
        let (Some(limited), Some(bucket)) = (self.limited.get(&tag), self.buckets.get_mut(&tag))
        else {
            return;
        };
        bucket.deduct(-1.0, limited.limit, supply);
        bucket.admitted_total = bucket.admitted_total.wrapping_sub(1);
        bucket.admitted_new = bucket.admitted_new.saturating_sub(1);
        bucket.mark_changed(tag, &mut self.changed);
    }

    /// Returns the counts of the organisations with changes since the last call.
    pub fn take_counts(&mut self) -> Vec<(OrganisationTag, ReportedAdmissions)> {
        let buckets = &mut self.buckets;
        let counts = std::mem::take(&mut self.changed).into_iter();
        let counts = counts.filter_map(|tag| {
            let bucket = buckets.get_mut(&tag)?;
            bucket.is_changed = false;
            let reported = ReportedAdmissions {
                admitted_total: bucket.admitted_total,
                admitted_new: std::mem::take(&mut bucket.admitted_new),
                refused_new: std::mem::take(&mut bucket.refused_new),
            };
            Some((tag, reported))
        });
        counts.collect()
    }

    /// Deducts the admissions that another daemon reported. `was_silent` says whether its last
    /// report arrived longer ago than [`SILENT_AFTER`]; what it admitted meanwhile was its own share.
    pub fn apply_counts(
        &mut self,
        origin: RunKey,
        counts: &[(OrganisationTag, ReportedAdmissions)],
        was_silent: bool,
        now: Duration,
    ) {
        if counts.is_empty() || !self.is_in_use() {
            return;
        }
        self.handle_pause(now);
        let supply = self.supply(now);
        let catches_up = self.coverage.misses_reports(now);
        for (tag, reported) in counts {
            let Some(limit) = self.limited.get(tag).map(|l| l.limit) else {
                continue;
            };
            let previous = self.replace_peer_total((origin, *tag), reported.admitted_total, now);
            let admitted = match previous {
                Some(previous) if !was_silent => {
                    // The difference of wrapping totals; negative if tokens were given back.
                    reported.admitted_total.wrapping_sub(previous) as i32
                }
                _ => reported.admitted_new,
            };
            if catches_up {
                continue;
            }
            let start_tokens = self.start.tokens(limit, supply);
            let bucket = self.buckets.entry(*tag);
            let bucket = bucket.or_insert_with(|| Bucket::new(start_tokens, now));
            bucket.used_at = now;
            bucket.deduct(f64::from(admitted), limit, supply);
            let demand = f64::from(admitted.max(0)) + f64::from(reported.refused_new);
            bucket.add_peer_demand(demand, now);
        }
    }

    fn replace_peer_total(
        &mut self,
        key: (RunKey, OrganisationTag),
        admitted_total: u32,
        now: Duration,
    ) -> Option<u32> {
        let new = PeerTotal {
            admitted_total,
            received_at_s: whole_seconds(now),
        };
        if let Some(known) = self.peer_totals.get_mut(&key) {
            return Some(std::mem::replace(known, new).admitted_total);
        }
        if self.peer_totals.len() < PEER_TOTALS_MAX {
            self.peer_totals.insert(key, new);
        }
        None
    }

    /// Removes the state of organisations that are no longer used.
    fn sweep(&mut self, now: Duration) {
        self.swept_at = now;
        let supply = self.supply(now);
        let limited = &self.limited;
        self.buckets.retain(|tag, bucket| {
            let Some(Limited { limit, .. }) = limited.get(tag) else {
                return false;
            };
            bucket.refill(*limit, supply);
            bucket.is_changed
                || now.saturating_sub(bucket.used_at) < BUCKET_RETENTION
                || bucket.tokens < supply.capacity(*limit)
        });
        let oldest_s = whole_seconds(now.saturating_sub(PEER_TOTAL_RETENTION));
        self.peer_totals
            .retain(|_, total| total.received_at_s >= oldest_s);
    }

    /// Returns the number of organisations with a bucket.
    pub fn tracked_organisations(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the number of stored totals of other daemons.
    pub fn tracked_peer_totals(&self) -> usize {
        self.peer_totals.len()
    }

    /// Returns the `count_max` organisations of which this daemon refused the most requests since its
    /// start, most first, and the sum of the refused requests of all others.
    pub fn most_refused(&self, count_max: usize) -> (Vec<(Arc<str>, u64)>, u64) {
        let refused = self.limited.values().filter(|l| l.refused > 0);
        let mut listed: Vec<_> = refused.map(|l| (l.name.clone(), l.refused)).collect();
        listed.sort_unstable_by(|a, b| (Reverse(a.1), &a.0).cmp(&(Reverse(b.1), &b.0)));
        let others = listed.iter().skip(count_max).map(|(_, refused)| refused);
        let others = others.sum();
        listed.truncate(count_max);
        (listed, others)
    }
}

fn whole_seconds(time: Duration) -> u32 {
    u32::try_from(time.as_secs()).unwrap_or(u32::MAX)
}

/// Returns the retry time of a request that a refill of `refill_s` seconds would admit.
fn retry_after(refill_s: f64, jitter: f64) -> Duration {
    let refill = Duration::try_from_secs_f64(refill_s).unwrap_or(RETRY_AFTER_MAX);
    refill
        .clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
        .mul_f64(1.0 + jitter / 2.0)
}

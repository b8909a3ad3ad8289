//! The slots of one endpoint: which of them are taken, as far as the scheduler knows.
//!
//! Leases are known at once. Reported load is 200 to 600 ms old, several service times, so
//! that it can't be compared with the leases of now: a report may count requests that ended
//! since. It is compared with the most leases of the window in which it may have been taken;
//! what exceeds these was placed without a lease. A new scheduler is stricter: its own grants
//! explain nothing of a report until requests from before have ended.

use std::collections::VecDeque;

use super::SchedulableEndpoint;

/// Age that a load report may have.
const REPORT_WINDOW_MS: u64 = 600;
/// Resolution of the lease history.
const BUCKET_MS: u64 = 50;
/// Weight of a sample in the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.03;
/// Range of a service time. Anything outside is a host's error.
const SERVICE_MS: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;
/// Most slots of one endpoint.
const MAX_SLOTS: u32 = 4_096;

/// Slots and leases of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointSlots {
    pub(super) slots: u32,
    pub(super) is_open: bool,
    has_queue: bool,
    pub(super) leases: u32,
    /// Leases that another scheduler granted, now and at most.
    foreign_leases: u32,
    most_foreign_leases: u32,
    reported_in_progress: u32,
    /// Most leases by bucket of time, the latest last.
    history: VecDeque<(u64, u32)>,
    service_ms: Option<f64>,
}

impl EndpointSlots {
    pub(super) fn new(listed: &SchedulableEndpoint) -> Self {
        let mut endpoint = EndpointSlots {
            slots: 0,
            is_open: false,
            has_queue: true,
            leases: 0,
            foreign_leases: 0,
            most_foreign_leases: 0,
            reported_in_progress: 0,
            history: VecDeque::new(),
            service_ms: None,
        };
        endpoint.update(listed);
        endpoint
    }

    pub(super) fn update(&mut self, listed: &SchedulableEndpoint) {
        self.slots = listed.slots.clamp(1, MAX_SLOTS);
        self.is_open = listed.is_open;
        self.has_queue = listed.has_queue;
        self.reported_in_progress = listed.in_progress;
    }

    pub(super) fn add_lease(&mut self, is_foreign: bool, now_ms: u64) {
        self.leases += 1;
        if is_foreign {
            self.foreign_leases += 1;
            self.most_foreign_leases = self.most_foreign_leases.max(self.foreign_leases);
        }
        self.note_leases(self.leases, now_ms);
    }

    pub(super) fn remove_lease(&mut self, is_foreign: bool, now_ms: u64) {
        self.note_leases(self.leases, now_ms);
        self.leases = self.leases.saturating_sub(1);
        if is_foreign {
            self.foreign_leases = self.foreign_leases.saturating_sub(1);
        }
    }

    fn note_leases(&mut self, leases: u32, now_ms: u64) {
        let bucket = now_ms / BUCKET_MS;
        match self.history.back_mut() {
            Some((last, most)) if *last >= bucket => *most = (*most).max(leases),
            _ => self.history.push_back((bucket, leases)),
        }
        let oldest = bucket.saturating_sub(REPORT_WINDOW_MS / BUCKET_MS);
        while self.history.front().is_some_and(|&(at, _)| at < oldest) {
            self.history.pop_front();
        }
    }

    /// Requests in progress without a lease. One slot always remains: a wrong report slows
    /// the pool but can't stop it.
    pub(super) fn unexplained(&self, now_ms: u64, is_settling: bool) -> u32 {
        let oldest = (now_ms / BUCKET_MS).saturating_sub(REPORT_WINDOW_MS / BUCKET_MS);
        let (latest, known, most) = if is_settling {
            // Requests from before the first lease have ended after a service time.
            let service_ms = self.service_ms(BUCKET_MS as f64) as u64;
            let latest = now_ms.saturating_sub(service_ms) / BUCKET_MS;
            let latest = latest.checked_sub(1);
            (latest, self.most_foreign_leases, self.slots - 1)
        } else {
            (Some(now_ms / BUCKET_MS), self.leases, self.slots / 2)
        };
        let in_window = |at: u64| at >= oldest && latest.is_some_and(|latest| at <= latest);
        let history = self.history.iter().filter(|&&(at, _)| in_window(at));
        let explained = history.map(|&(_, leases)| leases).fold(known, u32::max);
        self.reported_in_progress
            .saturating_sub(explained)
            .min(most)
    }

    /// Slots taken, by leases and by requests without one.
    pub(super) fn taken(&self, now_ms: u64, is_settling: bool) -> u32 {
        self.leases + self.unexplained(now_ms, is_settling)
    }

    /// Most slots that may be taken: those of the endpoint and, after settling, if it has a
    /// queue, one that lasts for the `round_trip_ms` until a freed slot is granted again.
    pub(super) fn limit(
        &self,
        round_trip_ms: f64,
        service_ms: f64,
        now_ms: u64,
        is_settling: bool,
    ) -> u32 {
        if is_settling || !self.has_queue {
            return self.slots;
        }
        // Slots that leases free. Others are filled by those who use them.
        let slots = f64::from(self.slots - self.unexplained(now_ms, is_settling));
        // Ends in a round trip, and one standard deviation more.
        let ends = slots * round_trip_ms / self.service_ms(service_ms);
        let ahead = (ends + ends.sqrt()).round().min((slots / 2.0).ceil());
        self.slots + ahead.max(1.0) as u32
    }

    /// Service time of this endpoint, or `otherwise`.
    pub(super) fn service_ms(&self, otherwise: f64) -> f64 {
        self.service_ms.unwrap_or(otherwise)
    }

    /// Learns from a lease that ended after `lease_ms`, starting from the pool's mean. Leases
    /// above the slots wait at the endpoint; the service time is the part of the lease that
    /// a slot spends on it.
    pub(super) fn learn_service_time(&mut self, lease_ms: f64, pool_ms: f64) -> f64 {
        let share = f64::from(self.slots) / f64::from(self.leases.max(self.slots));
        let sample = (lease_ms * share).clamp(*SERVICE_MS.start(), *SERVICE_MS.end());
        let service_ms = self.service_ms.get_or_insert(pool_ms);
        *service_ms += SERVICE_TIME_WEIGHT * (sample - *service_ms);
        sample
    }
}

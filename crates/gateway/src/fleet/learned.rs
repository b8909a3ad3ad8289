//! What this host has learned from requests, for hosts that start.

use chalkrock_routing::{LearnedState, PoolServiceTime};

use crate::fleet::Fleet;

/// Most prefix places that are sent.
const MAX_PREFIXES: usize = 1_024;

impl Fleet {
    /// What this host has learned, for another one.
    pub(crate) fn learned(&self, now_ms: u64) -> LearnedState {
        let service_times = self.service_times.iter();
        let service_times = service_times.map(|(pool, mean)| PoolServiceTime {
            pool: pool.clone(),
            service_ms: mean.ms().ceil() as u32,
        });
        LearnedState {
            connection_limits: self.connection_limits.limits.clone(),
            service_times: service_times.collect(),
            prefixes: self.prefixes.directory().most_recent(MAX_PREFIXES, now_ms),
        }
        .bounded()
    }

    /// Whether it knows service times.
    pub(crate) fn has_learned(&self) -> bool {
        !self.service_times.is_empty()
    }

    /// Takes over what another host has learned, apart from connection limits. Samples of this
    /// host come first.
    pub(crate) fn merge_learned(&mut self, learned: LearnedState, now_ms: u64) {
        let learned = learned.bounded();
        for time in learned.service_times {
            let mean = self.service_times.entry(time.pool).or_default();
            mean.start_from(f64::from(time.service_ms));
        }
        self.prefixes.merge_relayed(&learned.prefixes, now_ms);
    }
}

//! The refusals of requests, by what their attempts may have done.

use chalkrock_core::{Outcome, Reason};
use rand::RngExt;

use crate::edge::Refusal;
use crate::progress::Progress;

impl Progress {
    /// The refusal of a request that gets no slot in time.
    pub(crate) fn slot_refusal(
        &self,
        reason: Reason,
        retry_after_ms: Option<u64>,
        detail: String,
    ) -> Refusal {
        match self.worst_outcome {
            Outcome::NotRun => {
                let refusal = Refusal::new(reason, detail);
                Refusal {
                    retry_after_ms: retry_after_ms.or(refusal.retry_after_ms),
                    ..refusal
                }
            }
            Outcome::Ran | Outcome::Unknown => Refusal::new(Reason::EndpointLost, detail),
        }
    }

    /// The refusal of a request without time for another attempt.
    pub(crate) fn deadline_refusal(&self) -> Refusal {
        let reason = match self.worst_outcome {
            Outcome::NotRun => Reason::DeadlineTooClose,
            Outcome::Ran | Outcome::Unknown => Reason::DeadlinePassed,
        };
        Refusal::new(reason, "no time is left before the deadline")
    }

    /// The refusal of a request without an endpoint left to try.
    pub(crate) fn no_endpoint_refusal(&self) -> Refusal {
        const DETAIL: &str = "no other endpoint accepts requests";
        match self.worst_outcome {
            Outcome::NotRun => self
                .backoff_refusal()
                .or_else(|| self.no_room_refusal())
                .or_else(|| self.no_record_refusal())
                .unwrap_or_else(|| Refusal::new(Reason::NoEndpoint, DETAIL)),
            Outcome::Ran | Outcome::Unknown => Refusal::new(Reason::EndpointLost, DETAIL),
        }
    }

    /// The refusal of a stream while no record names a build at which it may begin.
    fn no_record_refusal(&self) -> Option<Refusal> {
        const DETAIL: &str = "no record names a build of the pool yet";
        let refusal = || Refusal::with_short_retry(Reason::NoEndpoint, DETAIL);
        self.awaits_record().then(refusal)
    }

    /// The refusal after the last permitted attempt.
    pub(crate) fn final_refusal(&self, reason: Reason, detail: String) -> Refusal {
        if reason != Reason::EndpointRefused {
            return Refusal::new(reason, detail);
        }
        if let Some(refusal) = self.backoff_refusal() {
            return refusal;
        }
        // An endpoint that backs off is skipped from now on, so that a repeat can use
        // the free slots of the others at once.
        let last = self.attempts.last();
        let is_backing_off = last.is_some_and(|last| last.backoff_ms.is_some());
        if is_backing_off && self.pool_has_capacity() {
            return Refusal::with_short_retry(reason, detail);
        }
        Refusal::new(reason, detail)
    }

    fn pool_has_capacity(&self) -> bool {
        let now_ms = self.shared.clock.now_ms();
        let occupancy = self.shared.fleet().occupancy(&self.call.pool, now_ms);
        occupancy.in_progress < occupancy.slots
    }

    /// The refusal if every endpoint of the pool backs off. Callers return after the
    /// first backoff ends, with jitter against a burst of repeats.
    fn backoff_refusal(&self) -> Option<Refusal> {
        const JITTER_MS: std::ops::Range<u64> = 10..300;
        let now_ms = self.shared.clock.now_ms();
        let remaining_ms = self
            .shared
            .fleet()
            .backoff_remaining_ms(&self.call.pool, now_ms)?;
        let detail =
            format!("all endpoints back off; the first accepts requests in {remaining_ms} ms");
        Some(Refusal {
            retry_after_ms: Some(remaining_ms + rand::rng().random_range(JITTER_MS)),
            ..Refusal::new(Reason::EndpointsBackOff, detail)
        })
    }

    /// The refusal if the endpoints tolerate few rejections and have no free slot. Callers
    /// return after about a service time, with jitter against a burst of repeats.
    fn no_room_refusal(&self) -> Option<Refusal> {
        const MIN_RETURN_MS: f64 = 200.0;
        const MAX_RETURN_MS: f64 = 3_000.0;
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        if !fleet.is_brittle(&self.call.pool, now_ms) {
            return None;
        }
        let service_ms = fleet.expected_service_ms(&self.call.pool);
        drop(fleet);
        let return_ms = service_ms.clamp(MIN_RETURN_MS, MAX_RETURN_MS);
        let jitter = rand::rng().random_range(1.0..2.0);
        let detail = "no slot is free, and endpoints tolerate few rejections";
        Some(Refusal {
            retry_after_ms: Some((return_ms * jitter) as u64),
            ..Refusal::new(Reason::AtBound, detail)
        })
    }
}

//! Whether a request is sent, held or refused before its first attempt.

use std::time::Duration;

use chalkrock_core::{OrganisationId, Outcome, Reason};
use chalkrock_routing::{
    AdmissionRequest, BacklogDecision, BacklogRequest, OrganisationShare, WaitOrder,
    admit_probability, fair_admit_probability, over_share_return_ms,
};
use tokio::time::Instant;

use crate::edge::Refusal;
use crate::event_log::Event;
use crate::fair_share::{RequestKind, RequestWork};
use crate::fleet::SelectedEndpoint;
use crate::progress::Progress;
use crate::work::{BacklogQuestion, HeldPlace, Prompt};

impl Progress {
    /// Refuses a request that was not sent yet if its pool is too full to meet the
    /// objective.
    ///
    /// In an overrun pool whose requests say what there is to read, outstanding work decides,
    /// and a request may be held on this host for a part of its objective.
    pub(crate) async fn admit(&mut self) -> Result<(), Refusal> {
        if !self.tried.is_empty() {
            // Its endpoint failed or crashed: it comes before new requests.
            return Ok(());
        }
        if !self.is_pool_overrun() {
            return self.admit_by_slots();
        }
        let admitted = self.admit_by_backlog().await;
        let now_ms = self.shared.clock.now_ms();
        self.work = RequestWork::record(&self.shared, &self.call, admitted.is_ok(), now_ms);
        admitted
    }

    /// Whether the request's pool is overrun and the request says what there is to read.
    fn is_pool_overrun(&self) -> bool {
        let pool = &self.call.pool;
        if Prompt::of(&self.call).is_none() {
            return false;
        }
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let mut backlog = fleet.backlog(pool, now_ms);
        let (is_overrun, has_changed) = fleet.backlogs.update(pool, &mut backlog, now_ms);
        drop(fleet);
        if has_changed {
            self.shared.event_log.emit(&Event::PoolOverrun {
                pool,
                is_overrun,
                in_progress: backlog.in_progress,
                slots: backlog.slots,
                endpoints: backlog.endpoints,
                full_endpoints: backlog.full_endpoints,
                age_ms: backlog.age_ms as u64,
            });
        }
        is_overrun
    }

    /// Sends, holds or rejects a request to an overrun pool.
    async fn admit_by_backlog(&self) -> Result<(), Refusal> {
        let draws = (rand::random(), rand::random());
        let mut held: Option<(HeldPlace, u64)> = None;
        loop {
            let now_ms = self.shared.clock.now_ms();
            let question = self.backlog_question(draws, now_ms);
            let max_ms = match question.decide() {
                BacklogDecision::Send => {
                    question.record_sent(&self.shared);
                    return Ok(());
                }
                BacklogDecision::Reject => return Err(question.reject(&self.shared)),
                BacklogDecision::Hold { max_ms } => max_ms,
            };
            let (place, until_ms) = match held.take() {
                Some(held) => held,
                None => {
                    let order = WaitOrder {
                        rank: self.call.priority(),
                        entered_at_ms: now_ms,
                    };
                    let place = HeldPlace::enter(&self.shared, &self.call.pool, order);
                    let Some(place) = place else {
                        return Err(question.reject(&self.shared));
                    };
                    question.record_held(&self.shared);
                    (place, now_ms + max_ms)
                }
            };
            while !place.wait_step().await && self.shared.clock.now_ms() < until_ms {}
            held = Some((place, until_ms));
        }
    }

    fn backlog_question(&self, draws: (f64, f64), now_ms: u64) -> BacklogQuestion<'_> {
        let (draw, return_draw) = draws;
        let pool = &self.call.pool;
        let mut fleet = self.shared.fleet();
        let mut backlog = fleet.backlog(pool, now_ms);
        fleet.backlogs.update(pool, &mut backlog, now_ms);
        let kind = RequestKind::of(&self.call);
        let occupancy = backlog.occupancy();
        let share = fleet.usage.share(&kind, &occupancy, now_ms);
        let best = fleet.place(&self.endpoint_query(), now_ms);
        let expected = best.and_then(|best| best.work?.expected_ttft_ms());
        BacklogQuestion {
            id: self.call.head.id.as_ref(),
            pool,
            organisation: self.call.organisation(),
            backlog,
            request: BacklogRequest {
                rank: self.call.priority(),
                objective_ms: self.call.route.objective_ms,
                waited_ms: self.call.entered_at.elapsed().as_millis() as u64,
                expected_ttft_ms: expected.map(|expected_ms| expected_ms as f64),
                is_repeated: !self.tried.is_empty(),
                draw,
                return_draw,
            },
            share,
        }
    }

    fn admit_by_slots(&mut self) -> Result<(), Refusal> {
        let organisation = self.call.organisation();
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let occupancy = fleet.occupancy(&self.call.pool, now_ms);
        let kind = RequestKind::of(&self.call);
        let share = fleet.usage.share(&kind, &occupancy, now_ms);
        let request = AdmissionRequest {
            rank: self.call.priority(),
            objective_ms: self.call.admission_objective_ms,
            is_over_share: match share {
                Some(share) => share.is_over(),
                None => organisation.is_some_and(|name| fleet.shares.is_over(name)),
            },
        };
        let probability = match share {
            Some(share) => fair_admit_probability(&occupancy, &request, &share),
            None => admit_probability(&occupancy, &request),
        };
        let is_admitted = rand::random::<f64>() < probability;
        let over = share.filter(OrganisationShare::is_over).zip(organisation);
        let new_over = over.filter(|(share, name)| {
            let usage = &mut fleet.usage;
            usage.track_over_share(&self.call.pool, name, *share, now_ms)
        });
        drop(fleet);
        if let Some((share, name)) = new_over {
            self.log_over_share(name, &share);
        }
        self.work = RequestWork::record(&self.shared, &self.call, is_admitted, now_ms);
        if is_admitted {
            return Ok(());
        }
        let detail = format!(
            "{} requests in progress on {} slots, {:.0} ms each; expected wait {:.0} ms",
            occupancy.in_progress,
            occupancy.slots,
            occupancy.service_ms,
            occupancy.wait_ms()
        );
        let reason = if request.is_over_share {
            Reason::OverShare
        } else {
            Reason::AtBound
        };
        let refusal = Refusal::new(reason, detail);
        let Some(share) = share.filter(OrganisationShare::is_over) else {
            return Err(refusal);
        };
        Err(Refusal {
            retry_after_ms: Some(over_share_return_ms(&share, rand::random())),
            ..refusal
        })
    }

    fn log_over_share(&self, organisation: &OrganisationId, share: &OrganisationShare) {
        self.shared.event_log.emit(&Event::OverShare {
            pool: &self.call.pool,
            organisation,
            is_over: true,
            demand_ratio: share.demand_ratio,
            use_ratio: share.use_ratio,
        });
    }

    /// Refuses a poison request. The refusal reports it as not run only if it was
    /// not sent before.
    pub(crate) fn check_poison(&self) -> Result<(), Refusal> {
        let poison = self.shared.refuse_poison(&self.call);
        poison.map_err(|refusal| match self.worst_outcome {
            Outcome::NotRun => refusal,
            Outcome::Ran | Outcome::Unknown => Refusal::new(Reason::EndpointLost, refusal.detail),
        })
    }

    /// Waits for a free slot if the request's endpoints tolerate few rejections, for a part of
    /// its objective.
    pub(crate) async fn wait_for_room(&mut self) -> Option<SelectedEndpoint> {
        const MAX_WAIT_DIVISOR: u32 = 4;
        let now_ms = self.shared.clock.now_ms();
        let objective = Duration::from_millis(self.call.route.objective_ms);
        let until = self.call.entered_at + objective / MAX_WAIT_DIVISOR;
        let until = until.min(self.call.deadline());
        if Instant::now() >= until || !self.shared.fleet().is_brittle(&self.call.pool, now_ms) {
            return None;
        }
        let order = WaitOrder {
            rank: self.call.priority(),
            entered_at_ms: now_ms,
        };
        let place = self.shared.room_lines.enter(&self.call.pool, order)?;
        while Instant::now() < until {
            if place.wait_step().await
                && let Some(choice) = self.place()
            {
                return Some(choice);
            }
        }
        None
    }
}

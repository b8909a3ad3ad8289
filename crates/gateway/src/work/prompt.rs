//! What an endpoint has to do for a prompt.

use std::net::SocketAddr;

use chalkrock_routing::{Candidate, OutstandingWork, PromptWork, WorkEstimate};

use crate::call::Call;
use crate::edge::PrefixPart;
use crate::work::WorkView;

/// Bounds the length that a caller can claim.
const MAX_PART_TOKENS: u64 = 1_000_000;

/// A request's prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt<'a> {
    parts: &'a [PrefixPart],
    /// Time within which the first event should arrive.
    pub(crate) objective_ms: u64,
    /// Priority of the request, 0 the most urgent.
    pub(crate) rank: u8,
}

impl<'a> Prompt<'a> {
    /// The prompt of a call; `None` if it names no parts.
    pub(crate) fn of(call: &'a Call) -> Option<Self> {
        let parts = call.head.prefix.as_slice();
        (!parts.is_empty()).then_some(Self {
            parts,
            objective_ms: call.route.objective_ms,
            rank: call.priority(),
        })
    }
}

/// The endpoints that hold each shared part, in order.
pub(super) struct HoldersByPart(Vec<Vec<u32>>);

impl WorkView<'_> {
    pub(super) fn holders_by_part(&self) -> HoldersByPart {
        let parts = self.shared_parts.iter();
        let holders = parts.map(|part| self.directory.holders(*part, self.now_ms).collect());
        HoldersByPart(holders.collect())
    }

    /// The work that a candidate has with the prompt. Parts that another endpoint holds are
    /// copied.
    pub(super) fn prompt_work(
        &self,
        ledger: &OutstandingWork<SocketAddr>,
        holders: &HoldersByPart,
        candidate: &Candidate,
    ) -> PromptWork {
        let endpoint = candidate.hash.short();
        let tokens = |parts: &[PrefixPart]| -> u32 {
            let tokens = parts.iter().map(|part| part.tokens.min(MAX_PART_TOKENS));
            tokens.fold(0, |sum: u32, tokens| sum.saturating_add(tokens as u32))
        };
        // Who holds a part holds those before it. The directory names few of the endpoints
        // that hold a part which most prompts share.
        let known = &holders.0;
        let until = |last: Option<usize>| last.map_or(0, |last| last + 1);
        let held = until(known.iter().rposition(|part| part.contains(&endpoint)));
        let copied_until = until(known.iter().rposition(|part| !part.is_empty()));
        let parts = self.prompt.parts;
        PromptWork {
            read_tokens: tokens(&parts[copied_until.min(parts.len())..]),
            copied_tokens: tokens(&parts[held.min(parts.len())..copied_until.min(parts.len())]),
            backlog_tokens: ledger.outstanding_tokens(self.pool, endpoint, self.now_ms),
        }
    }

    /// What the request can expect at a candidate; `None` while the pool's times are unknown.
    pub(super) fn estimate(
        &self,
        ledger: &OutstandingWork<SocketAddr>,
        candidate: &Candidate,
        work: &PromptWork,
    ) -> Option<WorkEstimate> {
        let endpoint = candidate.hash.short();
        let slowness = ledger.slowness(endpoint, self.now_ms);
        let without_backlog = PromptWork {
            backlog_tokens: 0,
            ..*work
        };
        let read_ms = ledger.usual_ms(self.pool, &without_backlog)? * slowness;
        let usual_ms = ledger.usual_ms(self.pool, work)?;
        let slots = candidate.slots.max(1);
        let queued = candidate.load.saturating_add(1).saturating_sub(slots);
        let queue_ms = f64::from(queued) / f64::from(slots) * self.service_ms;
        Some(WorkEstimate {
            expected_ttft_ms: (usual_ms + queue_ms) * slowness,
            read_ms,
            slowness,
        })
    }
}

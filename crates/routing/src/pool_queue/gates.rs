//! Gates: how much of a large organisation's requests hosts let through.

use super::AdmissionGate;
use crate::WorkLedger;

#[derive(Clone, Debug)]
pub(super) struct Gates {
    _since_ms: u64,
}

impl Gates {
    pub(super) fn new(now_ms: u64) -> Self {
        Gates { _since_ms: now_ms }
    }

    pub(super) fn count_arrival(&mut self, _organisation: u32) {}

    pub(super) fn count_grant(&mut self, _organisation: u32) {}

    pub(super) fn update(
        &mut self,
        _slots_per_ms: f64,
        _has_free_slot: bool,
        _ledger: &mut WorkLedger,
        _now_ms: u64,
    ) {
    }

    pub(super) fn list(&self) -> Vec<AdmissionGate> {
        Vec::new()
    }
}

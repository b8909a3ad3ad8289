//! Shares and returns that decide nothing.

#[derive(Debug, Default)]
pub(super) struct WorkLedger;

impl WorkLedger {
    pub(super) fn record(&mut self, _organisation: u32, _work_ms: f64, _now_ms: u64) {}

    pub(super) fn record_rejected(&mut self, _organisation: u32, _work_ms: f64, _now_ms: u64) {}

    pub(super) fn share_ratio(&mut self, _organisation: u32, _now_ms: u64) -> f64 {
        0.0
    }
}

#[derive(Debug, Default)]
pub(super) struct ReturnSchedule;

impl ReturnSchedule {
    pub(super) fn reserve(&mut self, _: u64, _: u8, _: f64, _now_ms: u64) -> u32 {
        500
    }

    pub(super) fn redeem(&mut self, _fingerprint: u64, _now_ms: u64) -> bool {
        false
    }
}

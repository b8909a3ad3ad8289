//! The number of hosts that may spend a part of a limit of the whole fleet.

/// Time within which hosts that exchange reports know of a host that has started.
const DISCOVERY_MS: u64 = 3_000;
/// Hosts that were heard count for one to two of these times.
const EPOCH_MS: u64 = 30 * 60 * 1_000;

/// The number of hosts that share a limit which holds in any window, as far as this host can
/// prove it.
///
/// A host that falls silent may go on spending behind a partition, so that it counts for half
/// an hour or longer. A host that has started may follow one at the same address that spent
/// before, and hosts that it meets may not have counted it until then: it has no part until a
/// window and the time of discovery have passed since it started and met another host for the
/// first time. So each host that spends in a window knew, whenever it spent, of every other
/// one that spends in it.
///
/// # Example
///
/// ```
/// use chalkrock_routing::FleetSize;
///
/// const WINDOW_MS: u64 = 10_000;
/// let mut size = FleetSize::default();
/// for now_ms in (0..=13_000).step_by(200) {
///     size.record(8, 8, WINDOW_MS, now_ms);
/// }
/// assert_eq!(size.sharers(13_000), Some(8));
/// // Five hosts fall silent.
/// size.record(3, 3, WINDOW_MS, 13_200);
/// assert_eq!(size.sharers(13_200), Some(8));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    known: usize,
    /// Most hosts heard in the current epoch and in the one before.
    heard: usize,
    heard_before: usize,
    epoch: u64,
    recorded_ms: Option<u64>,
    /// Since when this host has learned of others without a longer pause.
    learns_since_ms: u64,
    /// When this host last met another one for the first time, before it had a part; the start
    /// of the process if it met none.
    met_ms: u64,
    has_part: bool,
}

impl FleetSize {
    /// Records the hosts that this one has heard and those that it knows, itself included in
    /// both. The limit holds in windows of `window_ms`. Called at least once a second; time
    /// starts with the process.
    pub fn record(&mut self, heard: usize, known: usize, window_ms: u64, now_ms: u64) {
        let is_learning = self.is_learning(now_ms);
        if !is_learning {
            self.learns_since_ms = now_ms;
        }
        if !self.has_part && heard > self.heard.max(self.heard_before).max(1) {
            self.met_ms = now_ms;
        }
        self.recorded_ms = Some(now_ms);
        let epoch = now_ms / EPOCH_MS;
        if epoch != self.epoch {
            let is_next = epoch == self.epoch + 1;
            self.heard_before = if is_next { self.heard } else { 0 };
            self.heard = 0;
            self.epoch = epoch;
        }
        self.heard = self.heard.max(heard);
        self.known = known;
        self.has_part |= is_learning && now_ms >= self.met_ms + window_ms + DISCOVERY_MS;
    }

    /// The number of hosts that share the limit, `None` while this host has no part in it.
    pub fn sharers(&self, now_ms: u64) -> Option<usize> {
        let has_learned = now_ms >= self.learns_since_ms + DISCOVERY_MS;
        let sharers = self.known.max(self.heard).max(self.heard_before).max(1);
        (self.has_part && has_learned && self.is_learning(now_ms)).then_some(sharers)
    }

    fn is_learning(&self, now_ms: u64) -> bool {
        let recorded_ms = self.recorded_ms;
        recorded_ms.is_some_and(|recorded_ms| now_ms <= recorded_ms + DISCOVERY_MS)
    }
}

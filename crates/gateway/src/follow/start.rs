//! The first step of a starting host, which spares the store if other hosts supply a view.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::RngExt;

use crate::clock::{ms, sleep_running};
use crate::follow::Step;
use crate::shared::Shared;

/// Longest time that a starting host waits for its seeds to supply a view before it reads
/// the store. A serving host answers sooner, and one that has just started says at once
/// that it has no view. A fixed wait of 50 to 400 ms costs worth on every day on which all
/// hosts restart (0.010 with seven or eight hosts).
const SEED_TIMEOUT: Duration = Duration::from_millis(60);
/// Random delay of a strong host at the fleet's first start, before callers exist. The
/// first hosts to read supply the others, instead of all reading at once: 295 hosts would
/// make 1,180 calls.
const STRONG_HOST_DELAY_MS: RangeInclusive<u64> = 50..=1_500;
/// The same for weak hosts, which read a long list more slowly and so come second. A strong
/// host parses a list of 10,000 endpoints in 0.2 s; a link of 20 Mbit/s transfers it in 1.3 s.
const WEAK_HOST_DELAY_MS: RangeInclusive<u64> = 1_500..=4_000;
/// Least processor capacity of a strong host, in thousandths of a core.
const STRONG_MILLICORES: u16 = 500;
/// Pause after other hosts supplied a view, until all hosts are known and the preferred
/// subscribers begin to read.
const SETTLE_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause of the other hosts, until they know the subscribers.
const MAX_SUBSCRIBER_PAUSE: Duration = Duration::from_millis(1_000);

/// Gives other hosts time to supply a view to a starting host.
pub(super) async fn first_step(shared: &Shared) -> Step {
    if shared.config.peer_seeds.is_empty() {
        return Step::ReadWhole;
    }
    let is_known = tokio::select! {
        () = shared.wait_until_view_known() => true,
        () = wait_for_view_from_peers(shared) => shared.has_view(),
    };
    if !is_known {
        return Step::ReadWhole;
    }
    tokio::time::sleep(SETTLE_PAUSE).await;
    let preferred = shared.subscription.wait_until_preferred();
    let _subscribes_if_due = tokio::time::timeout(MAX_SUBSCRIBER_PAUSE, preferred).await;
    Step::Idle
}

/// Waits while other hosts may still supply a view.
async fn wait_for_view_from_peers(shared: &Shared) {
    if shared.config.is_first_start {
        let is_strong = shared.config.capacity.millicores >= STRONG_MILLICORES;
        let range = if is_strong {
            STRONG_HOST_DELAY_MS
        } else {
            WEAK_HOST_DELAY_MS
        };
        let delay_ms = rand::rng().random_range(range);
        tokio::time::sleep(ms(delay_ms)).await;
        return;
    }
    tokio::select! {
        () = shared.subscription.wait_until_seeds_queried() => {}
        () = sleep_running(SEED_TIMEOUT) => {}
    }
}

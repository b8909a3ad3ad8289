//! What a host that starts asks of the platform: nothing, where other hosts
//! pass on all in time.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::RngExt;

use crate::clock::ms;
use crate::follow::Step;
use crate::shared::Shared;

/// Time that a host which starts gives the hosts of its settings to pass on all
/// before it reads itself. A host that serves answers in some ten milliseconds;
/// where all have restarted they answer at once that they know nothing. Waiting
/// 50 to 400 ms regardless cost 0.010 of a day's worth on three sites of seven
/// or eight hosts (three days, five seeds), since all hosts restart on each.
const START_PATIENCE: Duration = Duration::from_millis(60);
/// Times, in milliseconds, that hosts wait where the whole fleet starts for the
/// first time and callers are not there yet; each draws one. The first to read
/// serve the others: 295 hosts make 1,180 calls at once if each reads for itself. Strong
/// hosts come first: a list of 10,000 endpoints takes them 0.2 s, and a link of
/// 20 Mbit/s 1.3 s.
const FIRST_START_STRONG_MS: RangeInclusive<u64> = 50..=1_500;
const FIRST_START_WEAK_MS: RangeInclusive<u64> = 1_500..=4_000;
/// What a strong host may use of a processor, in thousandths of a core.
const STRONG_MILLICORES: u16 = 500;
/// Pause after other hosts passed on all, until all hosts are known and those
/// that come first begin to read.
const HEARD_PAUSE: Duration = Duration::from_millis(400);
/// Pause of the others, until they know that these do.
const READ_PAUSE: Duration = Duration::from_millis(1_000);

/// Gives other hosts time to pass on all that a host which starts needs.
pub(super) async fn first_step(shared: &Shared) -> Step {
    if shared.config.peer_seeds.is_empty() {
        return Step::ReadWhole;
    }
    let is_known = tokio::select! {
        () = shared.wait_until_view_known() => true,
        () = start_patience(shared) => shared.has_view(),
    };
    if !is_known {
        return Step::ReadWhole;
    }
    tokio::time::sleep(HEARD_PAUSE).await;
    let first = shared.subscription.wait_until_preferred();
    let _either_way_it_may_be_due = tokio::time::timeout(READ_PAUSE, first).await;
    Step::Rest
}

/// Waits for as long as others may still pass on all.
async fn start_patience(shared: &Shared) {
    if shared.config.is_first_start {
        let is_strong = shared.config.capacity_millicores >= STRONG_MILLICORES;
        let range = if is_strong {
            FIRST_START_STRONG_MS
        } else {
            FIRST_START_WEAK_MS
        };
        let patience_ms = rand::rng().random_range(range);
        tokio::time::sleep(ms(patience_ms)).await;
        return;
    }
    let asked = shared.subscription.wait_until_seeds_queried();
    let _patience_is_over_either_way = tokio::time::timeout(START_PATIENCE, asked).await;
}

//! Detection of suspensions from two clock readings.

use chalkrock_routing::{ClockReading, Suspension, detect_suspension};
use googletest::prelude::*;

const TIMER_MS: u64 = 200;

fn suspension(steady_ms: u64, boot_ms: u64) -> Option<Suspension> {
    let before = ClockReading {
        steady_ms: 1_000,
        boot_ms: 90_000,
    };
    let after = ClockReading {
        steady_ms: before.steady_ms + steady_ms,
        boot_ms: before.boot_ms + boot_ms,
    };
    detect_suspension(before, after, TIMER_MS)
}

#[test]
fn detect_suspension_follows_the_table() {
    let cases = [
        ("on time", 200, 200, None),
        ("sooner", 3, 3, None),
        ("a loaded host", 1_100, 1_100, None),
        ("clocks read in turn", 200, 320, None),
        ("stopped", 6_200, 6_200, Some((6_000, 0))),
        ("suspended", 200, 10_200, Some((10_000, 10_000))),
        ("suspended for a moment", 200, 700, Some((500, 500))),
        (
            "suspended as a request arrived",
            1,
            1_001,
            Some((1_000, 1_000)),
        ),
        ("stopped and suspended", 3_200, 5_200, Some((5_000, 2_000))),
        (
            "the clock that counts suspensions lags",
            5_000,
            10,
            Some((4_800, 0)),
        ),
    ];
    for (name, steady_ms, boot_ms, expected) in cases {
        let found = suspension(steady_ms, boot_ms);
        let found = found.map(|found| (found.duration_ms, found.uncounted_ms));
        assert_that!(found, eq(expected), "{name}");
    }
}

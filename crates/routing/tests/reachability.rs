//! Reports of other hosts about endpoints, and the choice of the next hop.

use std::net::SocketAddr;

use chalkrock_routing::{NextHop, ReachReport, Reachability, ReportCounts};
use googletest::prelude::*;

const ZONE: u32 = 1;
const OTHER_ZONE: u32 = 2;
const ENDPOINT: u32 = 7;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_341))
}

fn hop(host: u8, zone: u32) -> NextHop {
    NextHop {
        address: address(host),
        zone,
        capacity_millicores: 250,
        lag_ms: 0,
    }
}

/// Reports of hosts that reach the endpoint.
fn reached_by(hops: &[NextHop]) -> Reachability<SocketAddr> {
    let mut reachability = Reachability::default();
    for hop in hops {
        reachability.merge(hop.address, &report(Some(*hop), &[ENDPOINT], &[]), 0);
    }
    reachability
}

fn report<'a>(
    next_hop: Option<NextHop>,
    reached: &'a [u32],
    unreached: &'a [u32],
) -> ReachReport<'a> {
    ReachReport {
        next_hop,
        reached,
        unreached,
        is_checked: false,
    }
}

/// The host chosen with equal draws.
fn choose(reachability: &Reachability<SocketAddr>, draw: f64, now_ms: u64) -> Option<SocketAddr> {
    let hop = reachability.choose_next_hop(ENDPOINT, ZONE, &[], (draw, draw), now_ms);
    hop.map(|hop| hop.address)
}

#[test]
fn reachability_holds_while_reports_are_recent() {
    let mut reachability = reached_by(&[hop(2, ZONE)]);
    assert_that!(reachability.is_reached(ENDPOINT, 2_500), eq(true));
    assert_that!(reachability.is_reached(ENDPOINT, 2_501), eq(false));
    assert_that!(choose(&reachability, 0.0, 2_501), none());
    reachability.expire(2_501);
    assert_that!(reachability.hosts_reaching(ENDPOINT, 0), is_empty());
}

/// Guards against forwarding to a host that lost its own path.
#[test]
fn reachability_ends_when_the_host_reports_otherwise() {
    let mut reachability = reached_by(&[hop(2, ZONE)]);
    let lost = report(Some(hop(2, ZONE)), &[], &[ENDPOINT]);
    reachability.merge(address(2), &lost, 100);
    assert_that!(reachability.is_reached(ENDPOINT, 100), eq(false));
    let mut reachability = reached_by(&[hop(2, ZONE), hop(3, ZONE)]);
    reachability.record_forwarded(address(2), ENDPOINT, false, 100);
    assert_that!(choose(&reachability, 0.0, 100), some(eq(address(3))));
}

/// Guards against hosts that ask on although they know who reaches an endpoint.
#[test]
fn reachability_needs_reports_until_two_hosts_reach_the_endpoint() {
    let mut reachability = reached_by(&[hop(2, ZONE)]);
    assert_that!(reachability.needs_reports(ENDPOINT, 0), eq(true));
    let report = report(Some(hop(3, ZONE)), &[ENDPOINT], &[]);
    reachability.merge(address(3), &report, 0);
    assert_that!(reachability.needs_reports(ENDPOINT, 1_000), eq(false));
    assert_that!(reachability.needs_reports(ENDPOINT, 1_001), eq(true));
    // Requests that it served count as reports.
    for host in [2, 3] {
        reachability.record_forwarded(address(host), ENDPOINT, true, 1_001);
    }
    assert_that!(reachability.needs_reports(ENDPOINT, 2_000), eq(false));
}

/// Guards against requests for endpoints that only a stopping host reaches.
#[test]
fn reachability_needs_a_host_that_takes_requests() {
    let mut reachability = Reachability::default();
    reachability.merge(address(2), &report(None, &[ENDPOINT], &[]), 0);
    assert_that!(reachability.is_reached(ENDPOINT, 0), eq(false));
    assert_that!(choose(&reachability, 0.0, 0), none());
}

#[test]
fn next_hop_is_in_the_same_zone_until_it_is_much_busier() {
    let mut reachability = reached_by(&[hop(2, ZONE), hop(3, OTHER_ZONE)]);
    for _ in 0..4 {
        assert_that!(choose(&reachability, 0.0, 0), some(eq(address(2))));
        reachability.begin_forwarded(address(2));
    }
    reachability.begin_forwarded(address(2));
    assert_that!(choose(&reachability, 0.0, 0), some(eq(address(3))));
    reachability.end_forwarded(address(2));
    assert_that!(choose(&reachability, 0.0, 0), some(eq(address(2))));
}

#[test]
fn next_hop_is_drawn_by_capacity_and_load() {
    let small = NextHop {
        capacity_millicores: 84,
        ..hop(2, ZONE)
    };
    let large = NextHop {
        capacity_millicores: 916,
        ..hop(3, ZONE)
    };
    let mut reachability = reached_by(&[small, large]);
    assert_that!(choose(&reachability, 0.05, 0), some(eq(address(2))));
    assert_that!(choose(&reachability, 0.1, 0), some(eq(address(3))));
    // Of two drawn hosts, the one with fewer requests for its capacity is chosen.
    reachability.begin_forwarded(address(2));
    let drawn = reachability.choose_next_hop(ENDPOINT, ZONE, &[], (0.05, 0.1), 0);
    assert_that!(drawn.map(|hop| hop.address), some(eq(address(3))));
}

#[test]
fn next_hop_excludes_hosts_that_refused_or_lag() {
    let lagging = NextHop {
        lag_ms: 400,
        ..hop(2, ZONE)
    };
    let reachability = reached_by(&[lagging, hop(3, OTHER_ZONE)]);
    assert_that!(choose(&reachability, 0.0, 0), some(eq(address(3))));
    let refused = [address(3)];
    let chosen = reachability.choose_next_hop(ENDPOINT, ZONE, &refused, (0.0, 0.0), 0);
    assert_that!(chosen.map(|hop| hop.address), some(eq(address(2))));
    let mut reachability = reached_by(&[hop(2, ZONE)]);
    reachability.forget(address(2));
    assert_that!(choose(&reachability, 0.0, 0), none());
}

/// Guards against contact from before an endpoint's end that vouches for it.
#[test]
fn checks_count_only_if_reported_since() {
    let mut reachability = reached_by(&[hop(2, ZONE)]);
    let counts = |reached, unreached| ReportCounts { reached, unreached };
    assert_that!(reachability.checks_since(ENDPOINT, 0), eq(counts(0, 0)));
    let checked = ReachReport {
        is_checked: true,
        ..report(None, &[], &[ENDPOINT])
    };
    reachability.merge(address(3), &checked, 100);
    assert_that!(reachability.checks_since(ENDPOINT, 100), eq(counts(0, 1)));
    assert_that!(reachability.checks_since(ENDPOINT, 101), eq(counts(0, 0)));
}

/// Reports from before a crash must not have requests forwarded to hosts that reach the endpoint
/// as little.
#[test]
fn forget_endpoint_drops_reports_from_before_a_crash() {
    let mut reachability = reached_by(&[hop(2, ZONE)]);
    reachability.merge(address(2), &report(Some(hop(2, ZONE)), &[8], &[]), 0);
    reachability.forget_endpoint(ENDPOINT);
    assert_that!(reachability.is_reached(ENDPOINT, 100), eq(false));
    assert_that!(choose(&reachability, 0.0, 100), none());
    assert_that!(reachability.is_reached(8, 100), eq(true));
}

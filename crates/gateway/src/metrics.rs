//! Renders the gateway's metrics as text.

use crate::shared::Shared;

/// Updates the gauges that are sampled on request, and renders all metrics.
pub(crate) fn render(shared: &Shared) -> String {
    let now_ms = shared.clock.now_ms();
    let metrics = &shared.metrics;
    metrics.gauge("requests_running", "", shared.running() as f64);
    metrics.gauge(
        "event_log_lines_dropped",
        "",
        shared.event_log.dropped() as f64,
    );
    let fleet = shared.fleet();
    metrics.gauge(
        "peers_heard",
        "",
        fleet.load.recent_host_count(now_ms) as f64,
    );
    let remote_host_count = fleet.load.remote_host_count();
    metrics.gauge("hosts_known_by_sums", "", remote_host_count as f64);
    let uses_fleet_aggregate = fleet.load.uses_fleet_aggregate();
    metrics.gauge(
        "goes_by_relay_sums",
        "",
        f64::from(u8::from(uses_fleet_aggregate)),
    );
    metrics.gauge("fleet_requests", "", f64::from(fleet.load.total()));
    let is_subscriber = shared.subscription.is_subscriber();
    metrics.gauge("reads_platform", "", f64::from(u8::from(is_subscriber)));
    let free = shared.connection_permits.available_permits();
    metrics.gauge("caller_places_free", "", free as f64);
    let bodies = shared.bodies.held_bytes();
    metrics.gauge("caller_bodies_held_bytes", "", bodies as f64);
    let answers = shared.answers.held_bytes();
    metrics.gauge("answers_held_bytes", "", answers as f64);
    metrics.gauge("lag_ms", "", shared.lag.ms() as f64);
    let live = fleet.endpoints.live_count();
    metrics.gauge("endpoints_live", "", live as f64);
    let cold = fleet.cold.count(now_ms);
    metrics.gauge("cold_endpoints", "", cold as f64);
    let backing_off = fleet.backoffs.count(now_ms);
    metrics.gauge("endpoints_backing_off", "", backing_off as f64);
    let leaving = fleet.endpoints.leaving().len();
    metrics.gauge("endpoints_leaving", "", leaving as f64);
    let evacuated = fleet.evacuations.zones().len();
    metrics.gauge("evacuated_zones", "", evacuated as f64);
    let poison = fleet.poison.poison_requests(usize::MAX, now_ms).len();
    metrics.gauge("poison_requests", "", poison as f64);
    metrics.gauge("endpoints_version", "", fleet.endpoints_version.0 as f64);
    fleet.work.set_gauges(metrics, now_ms);
    for (pool, wait_ms) in fleet.expected_waits_ms(now_ms) {
        metrics.gauge(
            "pool_expected_wait_ms",
            &format!("pool=\"{pool}\""),
            wait_ms,
        );
    }
    drop(fleet);
    metrics.render()
}

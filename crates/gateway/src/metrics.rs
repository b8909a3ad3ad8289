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
    render_pool_queues(shared, now_ms);
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
    for (pool, count) in fleet.usage.over_share_counts() {
        let labels = format!("pool=\"{pool}\"");
        metrics.gauge("organisations_over_share", &labels, count as f64);
    }
    fleet.work.set_gauges(metrics, now_ms);
    fleet.backlogs.set_gauges(metrics, now_ms);
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

/// Updates the gauges of scarce pools, by pool.
fn render_pool_queues(shared: &Shared, now_ms: u64) {
    let metrics = &shared.metrics;
    for view in shared.pool_queues.views(now_ms) {
        let labels = format!("pool=\"{}\"", view.pool);
        let is_contended = f64::from(u8::from(view.is_contended));
        metrics.gauge("pool_contended", &labels, is_contended);
        metrics.gauge("pool_waiting", &labels, view.waiting as f64);
        metrics.gauge("pool_leases_held", &labels, view.held as f64);
        let has_scheduler = f64::from(u8::from(view.scheduler.is_some()));
        metrics.gauge("pool_scheduler_known", &labels, has_scheduler);
    }
    for (pool, status) in shared.pool_queues.scheduled() {
        let labels = format!("pool=\"{pool}\"");
        let waiting: u32 = status.waiting_by_rank.iter().sum();
        metrics.gauge("scheduled_waiting", &labels, f64::from(waiting));
        metrics.gauge("scheduled_hosts", &labels, status.hosts as f64);
        metrics.gauge("scheduled_service_ms", &labels, status.service_ms);
        let oldest_wait_ms = status.oldest_wait_ms as f64;
        metrics.gauge("scheduled_oldest_wait_ms", &labels, oldest_wait_ms);
        let leases: u32 = { status.endpoints.iter() }.map(|e| e.leases).sum();
        metrics.gauge("scheduled_leases", &labels, f64::from(leases));
    }
}

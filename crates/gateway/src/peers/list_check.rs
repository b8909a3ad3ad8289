//! Compares this host's list of endpoints with those of other hosts, and reads it again if it
//! is likely wrong.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_routing::{ListComparisons, ListMatch, ListReport, ListSource, ListStep};
use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};

use crate::event_log::{Event, ListAction};
use crate::peers::membership::PeerTable;
use crate::peers::message::{Datagram, ListDigest};
use crate::peers::publish::send;
use crate::peers::pull::pull_whole_list;
use crate::shared::Shared;

/// Interval between reports, each to one other host. A report takes at most 25 bytes.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between lines about other hosts' lists.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time for the store to answer before another host is asked for its list.
const STORE_WAIT: Duration = Duration::from_millis(1_000);
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Comparisons with the lists of other hosts.
#[derive(Debug, Default)]
pub(super) struct ListCheck(Mutex<CheckState>);

#[derive(Debug, Default)]
struct CheckState {
    comparisons: ListComparisons<SocketAddr>,
    logged_at: Option<Instant>,
}

impl ListCheck {
    fn state(&self) -> MutexGuard<'_, CheckState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports this host's list to others until the process ends, and reads it again if it is
/// likely wrong.
pub(crate) async fn check_list(shared: Arc<Shared>, peers: Arc<PeerTable>, socket: Arc<UdpSocket>) {
    let start = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(REPORT_INTERVAL.mul_f64(start)).await;
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !shared.has_view() {
            continue;
        }
        let others: Vec<SocketAddr> = peers.recent().iter().map(|host| host.address).collect();
        let others = Vec::from_iter(others.into_iter().filter(|host| *host != peers.local));
        let Some(recipient) = others.choose(&mut rand::rng()) else {
            continue;
        };
        let report = shared.fleet().list_report();
        send_report(&shared, &socket, *recipient, report, false);
        let now_ms = shared.clock.now_ms();
        let draw = rand::rng().random_range(0.0..1.0);
        let step = {
            let mut state = peers.list_check.state();
            let comparisons = &mut state.comparisons;
            comparisons.next_step(report, others.len(), draw, now_ms)
        };
        if let ListStep::Reread(right) = step {
            reread(&shared, &peers, report, right).await;
        }
    }
}

/// Reads the list from the store, or gets that of another host if the store does not answer.
async fn reread(shared: &Shared, peers: &PeerTable, own: ListReport, right: SocketAddr) {
    shared.metrics.count("list_rereads_total", "", 1);
    log_difference(shared, peers, own, right, ListAction::ReadStore);
    let revision = shared.fleet().list_revision();
    shared.subscription.request_list_reread();
    let is_read = async {
        loop {
            {
                let mut fleet = shared.fleet();
                let is_from_store = fleet.list_report().source == ListSource::Store;
                if is_from_store && fleet.list_revision() != revision {
                    return;
                }
            }
            tokio::time::sleep(STORE_CHECK_INTERVAL).await;
        }
    };
    if tokio::time::timeout(STORE_WAIT, is_read).await.is_err() {
        log_difference(shared, peers, own, right, ListAction::PullList);
        pull_whole_list(shared, peers, right).await;
    }
}

fn log_difference(
    shared: &Shared,
    peers: &PeerTable,
    own: ListReport,
    other: SocketAddr,
    action: ListAction,
) {
    let report = peers.list_check.state().comparisons.report(&other);
    if let Some(report) = report {
        emit(shared, own, other, report, action);
    }
}

fn emit(
    shared: &Shared,
    own: ListReport,
    other: SocketAddr,
    report: ListReport,
    action: ListAction,
) {
    shared.event_log.emit(&Event::ListsDiffer {
        other,
        version: own.version,
        digest: own.digest,
        other_digest: report.digest,
        source: own.source,
        other_source: report.source,
        action,
    });
}

/// Compares the list of another host with this host's, and replies if they differ.
pub(super) fn compare_list(
    shared: &Shared,
    peers: &PeerTable,
    socket: &UdpSocket,
    from: SocketAddr,
    received: ListDigest,
) {
    if !shared.has_view() {
        return;
    }
    let own = shared.fleet().list_report();
    let now_ms = shared.clock.now_ms();
    let is_logged = {
        let mut state = peers.list_check.state();
        let compared = state.comparisons.record(from, own, received.report, now_ms);
        if compared != ListMatch::Differs {
            return;
        }
        let is_due = state
            .logged_at
            .is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if is_due {
            state.logged_at = Some(Instant::now());
        }
        is_due
    };
    shared.metrics.count("lists_differ_total", "", 1);
    if is_logged {
        emit(shared, own, from, received.report, ListAction::Compare);
    }
    if !received.is_reply {
        send_report(shared, socket, from, own, true);
    }
}

fn send_report(
    shared: &Shared,
    socket: &UdpSocket,
    to: SocketAddr,
    report: ListReport,
    is_reply: bool,
) {
    let datagram = Datagram::ListDigest(ListDigest { report, is_reply });
    send(shared, socket, &datagram, &[to]);
}

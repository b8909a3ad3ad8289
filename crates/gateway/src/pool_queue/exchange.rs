//! Exchanges asks and replies with the schedulers of this host's pools.
//!
//! One task serves both sides. It applies all datagrams that have arrived before it
//! schedules, so that a burst of asks costs one pass and each asking host one reply.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_routing::{
    NextAsk, ReplyUse, SchedulerCandidate, SlotAsk, SlotReply, rank_schedulers,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::clock::ms;
use crate::event_log::Event;
use crate::metrics::Direction;
use crate::peers::{Datagram, PeerTable, SlotRedirect};
use crate::pool_queue::client::send_all;
use crate::pool_queue::schedulers::{AddressedReply, Schedulers};
use crate::pool_queue::waiting::{Decided, Decision};
use crate::shared::Shared;

/// Datagrams that are applied in one pass.
const MAX_BATCH: usize = 256;
/// How long a ranking of hosts is reused.
const RANKING_MAX_AGE_MS: u64 = 500;
/// Interval at which the state of scheduled pools is published for operators.
const STATUS_INTERVAL_MS: u64 = 500;
/// Longest sleep without an event.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Shortest sleep before a timed event, so that several are handled together.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// A message of another host for the task.
#[derive(Debug)]
pub(crate) enum Inbound {
    Ask(SocketAddr, SlotAsk),
    Reply(SocketAddr, SlotReply),
    Redirect(SocketAddr, SlotRedirect),
}

struct Ranking {
    hosts: Vec<SocketAddr>,
    at_ms: u64,
}

/// State of the task.
struct Exchange {
    shared: Arc<Shared>,
    peers: Arc<PeerTable>,
    socket: Arc<UdpSocket>,
    schedulers: Schedulers,
    /// By the short hash of a pool.
    rankings: HashMap<u32, Ranking>,
    status_at_ms: u64,
}

/// Runs until the process ends.
pub(crate) async fn exchange_slots(
    shared: Arc<Shared>,
    peers: Arc<PeerTable>,
    socket: Arc<UdpSocket>,
    mut inbound: mpsc::Receiver<Inbound>,
) {
    let queues = shared.pool_queues.clone();
    queues.begin_exchange();
    let mut exchange = Exchange {
        schedulers: Schedulers::new(peers.incarnation),
        shared,
        peers,
        socket,
        rankings: HashMap::new(),
        status_at_ms: 0,
    };
    let mut batch = Vec::new();
    loop {
        let sleep = exchange.next_sleep();
        tokio::select! {
            count = inbound.recv_many(&mut batch, MAX_BATCH) => {
                if count == 0 {
                    return;
                }
            }
            () = queues.changed.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
        while batch.len() < MAX_BATCH
            && let Ok(message) = inbound.try_recv()
        {
            batch.push(message);
        }
        exchange.run_pass(batch.drain(..));
    }
}

impl Exchange {
    fn run_pass(&mut self, inbound: impl Iterator<Item = Inbound>) {
        // The age of asks must include time in which this host was suspended.
        self.shared.detect_suspension();
        let now_ms = self.shared.clock.now_ms();
        for message in inbound {
            match message {
                Inbound::Ask(from, ask) => self.serve_ask(from, ask, now_ms),
                Inbound::Reply(from, reply) => self.apply_reply(from, reply, now_ms),
                Inbound::Redirect(from, redirect) => self.apply_redirect(from, &redirect, now_ms),
            }
        }
        self.release_lost(now_ms);
        self.send_asks(now_ms);
        for AddressedReply { to, reply } in self.schedulers.schedule(&self.shared, now_ms) {
            if to == self.peers.local {
                self.apply_reply(to, reply, now_ms);
            } else {
                self.shared.metrics.count("slot_replies_sent_total", "", 1);
                self.send(&Datagram::SlotReply(reply), to);
            }
        }
        if now_ms.saturating_sub(self.status_at_ms) >= STATUS_INTERVAL_MS {
            self.status_at_ms = now_ms;
            let statuses = self.schedulers.statuses(now_ms);
            self.shared.pool_queues.set_scheduled(statuses);
        }
    }

    /// Time until something is due without a message or change.
    fn next_sleep(&self) -> Duration {
        let now_ms = self.shared.clock.now_ms();
        let pools = self.shared.pool_queues.pools();
        let asks = pools.values();
        let next_ask_ms = asks
            .filter_map(|pool| pool.link.next_ask_ms(pool.has_entries()))
            .min();
        drop(pools);
        let next_event_ms = self.schedulers.next_event_ms(now_ms);
        let next_ms = next_ask_ms.into_iter().chain(next_event_ms).min();
        let sleep = next_ms.map_or(MAX_SLEEP, |next_ms| ms(next_ms.saturating_sub(now_ms)));
        sleep.clamp(MIN_SLEEP, MAX_SLEEP)
    }

    fn ranked(&mut self, pool: u32, now_ms: u64) -> &[SocketAddr] {
        let ranking = self.rankings.entry(pool).or_insert_with(|| Ranking {
            hosts: Vec::new(),
            at_ms: 0,
        });
        let is_recent = now_ms.saturating_sub(ranking.at_ms) < RANKING_MAX_AGE_MS;
        if ranking.hosts.is_empty() || !is_recent {
            let candidates = self.peers.scheduler_candidates();
            ranking.hosts = rank_schedulers(pool, &candidates);
            ranking.at_ms = now_ms;
        }
        &ranking.hosts
    }

    /// Applies an ask, or points to the host that schedules the pool for this one.
    fn serve_ask(&mut self, from: SocketAddr, ask: SlotAsk, now_ms: u64) {
        if !self.shared.has_view() {
            // A scheduler that does not know the endpoints would refuse everything.
            return;
        }
        self.shared.metrics.count("slot_asks_received_total", "", 1);
        if !self.schedulers.knows(&self.shared, ask.pool) {
            return;
        }
        if let Some(scheduler) = self.redirect_target(from, ask.pool, now_ms) {
            self.shared
                .metrics
                .count("slot_redirects_sent_total", "", 1);
            let redirect = SlotRedirect {
                pool: ask.pool,
                ask_sequence: ask.sequence,
                scheduler,
            };
            self.send(&Datagram::SlotRedirect(redirect), from);
            return;
        }
        let is_new = !self.schedulers.contains(ask.pool);
        let pool = ask.pool;
        self.schedulers.ask(&self.shared, from, ask, now_ms);
        if is_new && self.schedulers.contains(pool) {
            self.rankings.remove(&pool);
        }
    }

    fn redirect_target(&mut self, from: SocketAddr, pool: u32, now_ms: u64) -> Option<SocketAddr> {
        let local = self.peers.local;
        let first = *self.ranked(pool, now_ms).first()?;
        if first == local || first == from {
            return None;
        }
        let pools = self.shared.pool_queues.pools();
        let waiting = pools.values().find(|waiting| waiting.hash == pool)?;
        let reachable = waiting.link.reachable_scheduler(now_ms);
        reachable.filter(|host| **host == first).copied()
    }

    fn apply_reply(&mut self, from: SocketAddr, reply: SlotReply, now_ms: u64) {
        let queues = &self.shared.pool_queues;
        let mut pools = queues.pools();
        let waiting = pools.values_mut().find(|pool| pool.hash == reply.pool);
        let Some(waiting) = waiting else {
            return;
        };
        let known_epoch = waiting.link.scheduler().map(|(_, epoch)| epoch);
        let (use_of_reply, decided) = waiting.apply(queues, from, reply, now_ms);
        let name = waiting.name.clone();
        let epoch = waiting.link.scheduler().map_or(0, |(_, epoch)| epoch);
        drop(pools);
        let metrics = &self.shared.metrics;
        if use_of_reply == ReplyUse::Outdated {
            metrics.count("slot_replies_outdated_total", "", 1);
        }
        if known_epoch.is_some_and(|known| known != epoch) {
            self.shared.event_log.emit(&Event::Scheduler {
                pool: &name,
                address: from,
                epoch,
            });
        }
        count_decisions(&self.shared, &name, &decided);
        send_all(decided);
    }

    fn apply_redirect(&mut self, from: SocketAddr, redirect: &SlotRedirect, now_ms: u64) {
        let is_host = |host: &SchedulerCandidate<SocketAddr>| host.host == redirect.scheduler;
        if !self.peers.scheduler_candidates().iter().any(is_host) {
            return;
        }
        let mut pools = self.shared.pool_queues.pools();
        let waiting = pools.values_mut().find(|pool| pool.hash == redirect.pool);
        let is_followed = waiting.is_some_and(|waiting| {
            let to = redirect.scheduler;
            let sequence = redirect.ask_sequence;
            waiting.link.record_redirect(&from, to, sequence, now_ms)
        });
        drop(pools);
        if is_followed {
            self.shared
                .metrics
                .count("slot_redirects_followed_total", "", 1);
        }
    }

    /// Releases requests that no scheduler answers, or whose pool has no open endpoint.
    fn release_lost(&self, now_ms: u64) {
        let queues = &self.shared.pool_queues;
        let pools = queues.pools();
        let with_waiting = pools.values().filter(|pool| !pool.waiting.is_empty());
        let names: Vec<PoolId> = with_waiting.map(|pool| pool.name.clone()).collect();
        drop(pools);
        let mut released = Vec::new();
        for name in names {
            let has_open = self.shared.fleet().has_open_endpoint(&name, now_ms);
            let mut pools = queues.pools();
            let Some(waiting) = pools.get_mut(&name) else {
                continue;
            };
            if waiting.link.is_lost(now_ms) || !has_open {
                released.push((name, waiting.release_all()));
            }
        }
        for (name, decided) in released {
            count_decisions(&self.shared, &name, &decided);
            send_all(decided);
        }
    }

    fn send_asks(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        let queues = self.shared.pool_queues.clone();
        for waiting in queues.pools().values() {
            let next_ms = waiting.link.next_ask_ms(waiting.has_entries());
            if next_ms.is_some_and(|next_ms| next_ms <= now_ms) {
                due.push((waiting.name.clone(), waiting.hash));
            }
        }
        for (name, hash) in due {
            let ranked = self.ranked(hash, now_ms).to_vec();
            let mut pools = queues.pools();
            let Some(waiting) = pools.get_mut(&name) else {
                continue;
            };
            let before = waiting.link.scheduler().map(|(host, _)| *host);
            let Some(next) = waiting.link.begin_ask(&ranked, now_ms) else {
                continue;
            };
            let ask = waiting.ask(self.peers.incarnation, next.sequence, now_ms);
            drop(pools);
            self.log_scheduler_loss(&name, before, &next);
            self.shared.metrics.count("slot_asks_sent_total", "", 1);
            if next.scheduler == self.peers.local {
                self.serve_ask(self.peers.local, ask, now_ms);
            } else {
                self.send(&Datagram::SlotAsk(ask), next.scheduler);
            }
        }
    }

    fn log_scheduler_loss(
        &self,
        pool: &PoolId,
        before: Option<SocketAddr>,
        next: &NextAsk<SocketAddr>,
    ) {
        if let Some(address) = before.filter(|_| next.is_new_scheduler) {
            self.shared.event_log.emit(&Event::SchedulerReplaced {
                pool,
                address,
                next: next.scheduler,
            });
        }
    }

    fn send(&self, datagram: &Datagram, to: SocketAddr) {
        let Ok(bytes) = postcard::to_stdvec(datagram) else {
            return;
        };
        self.shared.record_datagram_size(bytes.len());
        let sent_bytes = bytes.len() as u64;
        let metrics = &self.shared.metrics;
        metrics.count("slot_datagram_bytes_sent_total", "", sent_bytes);
        self.shared
            .count_control_bytes(datagram.kind(), Direction::Sent, sent_bytes);
        let _lost_datagrams_are_replaced = self.socket.try_send_to(&bytes, to);
    }
}

fn count_decisions(shared: &Shared, pool: &PoolId, decided: &[Decided]) {
    for Decided { decision, .. } in decided {
        let kind = match decision {
            Decision::Granted { .. } => "granted",
            Decision::Rejected { cause, .. } => match cause {
                chalkrock_routing::RejectionCause::Full => "full",
                chalkrock_routing::RejectionCause::OverShare => "over-share",
            },
            Decision::Displaced { .. } => "displaced",
            Decision::Unscheduled => "unscheduled",
        };
        let labels = format!("pool=\"{pool}\",decision=\"{kind}\"");
        shared.metrics.count("slot_decisions_total", &labels, 1);
    }
}

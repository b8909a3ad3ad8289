//! Recipients of one gossip round, and this host's roles in its zone.
//!
//! Roles follow from each host's own view, without agreement. A host reports only to relays
//! while it receives fleet aggregates from them, and otherwise to all hosts of its zone. If
//! all relays of a zone fail at once, its hosts exchange heartbeats until new relays take
//! over.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{
    FleetWork, LargestRoom, RELAYS_PER_ZONE, SubscriptionRole, ZonePeer, ZoneView, first_ranked,
    subscribers_needed,
};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::peers::membership::{Peer, PeerChange, PeerTable, host_hash, mark_silent};
use crate::peers::message::{HostContact, ZoneMember};

/// Interval between heartbeats to a host that is down.
const SILENT_RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between heartbeats to hosts of other zones, or within a zone served by relays,
/// so that they do not forget each other.
const REMOTE_RESEND_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between heartbeats to the other hosts of a large zone while no relay serves it.
/// With one in each round, each of 300 hosts that start together in three zones sends and
/// receives 500 datagrams a second. Short enough that a report is renewed before it expires.
const DIRECT_RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// First-ranked hosts of a large zone without a relay that receive a heartbeat in each
/// round: the next relays, and as many again in case views differ.
const EXPECTED_RELAYS: usize = 2 * RELAYS_PER_ZONE;
/// Hosts of other zones that receive a heartbeat in one round. All of a large fleet learn
/// of each other within seconds of a common start; without a limit, each of 300 hosts
/// answers each other one at once.
const MAX_REMOTE_PER_ROUND: usize = 16;
/// Hosts listed in a heartbeat for discovery.
const MAX_CONTACTS: usize = 4;
/// Relays of each other zone that receive the aggregate.
const GOSSIP_FAN_OUT: usize = 2;
/// Zones whose subscribers read changes without delay; those of other zones are standbys.
const PRIMARY_SUBSCRIBER_ZONES: usize = 2;
/// Listings in which a relay names all hosts of its zone once.
const LISTINGS_PER_FULL_LISTING: usize = 5;
/// Rounds between two listings. Listings in each round were the largest part of a relay's
/// traffic, 70 of 135 KB a second with 100 hosts in a zone.
const ROUNDS_PER_LISTING: u64 = 3;
/// A host receives the standby relay's aggregate once in this many sends, in the rounds of
/// listings.
const STANDBY_INTERVAL_SENDS: u64 = 3;

/// State of this host at the start of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundInput {
    /// Number of regular rounds so far.
    pub(crate) number: u64,
    /// Whether an update must reach all recipients at once.
    pub(crate) is_urgent: bool,
    /// Rounds between two aggregates; more for a large one.
    pub(crate) rounds_per_aggregate: u64,
    pub(crate) role: SubscriptionRole,
    /// Hosts whose load is known, this one included.
    pub(crate) known_host_count: usize,
    /// Whether this host uses the fleet aggregate of its zone's relays.
    pub(crate) uses_fleet_aggregate: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct GossipRound {
    pub(crate) heartbeat_recipients: Vec<SocketAddr>,
    /// Hosts listed in the heartbeat.
    pub(crate) contacts: Vec<HostContact>,
    /// Relays of other zones that receive this zone's aggregate, if this host is a relay.
    pub(crate) remote_relays: Vec<SocketAddr>,
    /// Hosts of this zone that receive the fleet aggregate, if this host is a relay of a
    /// large zone.
    pub(crate) aggregate_recipients: Vec<SocketAddr>,
    /// Whether rollout orders and records are sent, which a host that uses relays repeats
    /// in each third round only. Changes cause an urgent round.
    pub(crate) repeats_rollouts: bool,
    /// Hosts listed in the relay's summary.
    pub(crate) zone_members: Vec<ZoneMember>,
    pub(crate) is_subscriber: bool,
    /// Whether this host would be a subscriber if there were none yet.
    pub(crate) is_preferred: bool,
    /// Whether subscribers of other zones read first.
    pub(crate) is_standby: bool,
    pub(crate) is_relay: bool,
    pub(crate) has_relay_change: bool,
    /// Whether this host sends the fleet aggregate to its zone.
    pub(crate) aggregates: bool,
    pub(crate) lost_peers: Vec<PeerChange>,
    /// Hosts that share the store subscription.
    pub(crate) subscriber_count: usize,
    pub(crate) host_count: usize,
    /// The hosts that share the request rate of cold endpoints.
    pub(crate) cold_senders: Vec<MemberHash>,
}

impl PeerTable {
    /// Computes the recipients of the next round and this host's roles.
    pub(crate) fn round(&self, input: &RoundInput) -> GossipRound {
        let now = Instant::now();
        let contacts = self.sample_contacts();
        let mut peers = self.peers();
        peers.retain(|_, peer| !peer.is_expired(now));
        let lost_peers = mark_silent(&mut peers, self.zone, now);
        let view = self.view(&peers, input.known_host_count);
        let zone_view = view.zone_view();
        let local = ZonePeer {
            hash: host_hash(&self.local),
            role: input.role,
            capacity_millicores: self.capacity_millicores,
        };
        let is_large = zone_view.is_large();
        let rank = zone_view.relay_rank(&local).filter(|_| is_large);
        let uses_relays = zone_view.uses_relays(self.aggregates());
        let aggregates = rank.is_some() && uses_relays;
        let has_relay_change = self.set_relay(rank.is_some(), aggregates);
        let writer_rank = if is_large {
            rank.map(|rank| RELAYS_PER_ZONE * view.zones_before + rank)
        } else {
            Some(zone_view.rank(&local))
        };
        self.set_writer_rank(writer_rank);
        let mut round = GossipRound {
            is_subscriber: zone_view.is_subscriber(&local),
            is_preferred: zone_view.is_preferred_subscriber(&local),
            contacts,
            is_standby: view.zones_before >= PRIMARY_SUBSCRIBER_ZONES,
            is_relay: rank.is_some(),
            has_relay_change,
            aggregates,
            lost_peers,
            subscriber_count: if is_large {
                subscribers_needed(view.hosts)
            } else {
                view.others.len()
            },
            host_count: view.hosts,
            cold_senders: self.cold_senders(&peers),
            ..GossipRound::default()
        };
        if let Some(rank) = rank {
            round.remote_relays = self.remote_relays(&peers, now);
            if aggregates {
                round.aggregate_recipients = self.aggregate_recipients(&peers, rank, input);
                round.zone_members = self.listed_zone_members(&peers, input, now);
            }
        }
        round.repeats_rollouts = input.is_urgent
            || !(aggregates || input.uses_fleet_aggregate)
            || input.number.is_multiple_of(ROUNDS_PER_LISTING);
        let path = if aggregates || input.uses_fleet_aggregate {
            HeartbeatPath::Relays
        } else if uses_relays {
            HeartbeatPath::ExpectedRelays(first_ranked(zone_view.others, EXPECTED_RELAYS))
        } else {
            HeartbeatPath::All
        };
        round.heartbeat_recipients = self.heartbeat_recipients(&mut peers, now, is_large, &path);
        round
    }

    /// A random sample of the hosts that are up.
    fn sample_contacts(&self) -> Vec<HostContact> {
        let up = self.up();
        up.sample(&mut rand::rng(), MAX_CONTACTS).copied().collect()
    }

    fn view(&self, peers: &HashMap<SocketAddr, Peer>, known_host_count: usize) -> View {
        let up = || peers.iter().filter(|(_, peer)| peer.is_up);
        let same_zone = up().filter(|(_, peer)| peer.zone == Some(self.zone));
        let others: Vec<ZonePeer> = same_zone.map(zone_peer).collect();
        let mut zones: Vec<u32> = peers.values().filter_map(|peer| peer.zone).collect();
        zones.push(self.zone);
        zones.sort_unstable();
        zones.dedup();
        let by_zones = View {
            hosts: known_host_count.max(1 + up().count()),
            zones: zones.len(),
            zones_before: zones.iter().filter(|zone| **zone < self.zone).count(),
            others,
        };
        let is_large = by_zones.zone_view().is_large();
        if is_large {
            return by_zones;
        }
        View {
            zones: 1,
            zones_before: 0,
            others: up().map(zone_peer).collect(),
            ..by_zones
        }
    }

    fn heartbeat_recipients(
        &self,
        peers: &mut HashMap<SocketAddr, Peer>,
        now: Instant,
        is_large: bool,
        path: &HeartbeatPath,
    ) -> Vec<SocketAddr> {
        let mut recipients = Vec::new();
        let mut remote_left = MAX_REMOTE_PER_ROUND;
        for (address, peer) in peers {
            let is_remote = peer.zone.is_some_and(|zone| zone != self.zone);
            let interval = if is_large && is_remote {
                REMOTE_RESEND_INTERVAL
            } else if !peer.is_up {
                SILENT_RESEND_INTERVAL
            } else if peer.aggregates(now) {
                Duration::ZERO
            } else {
                path.interval(peer.hash)
            };
            if peer.sent_at.is_some_and(|sent_at| now - sent_at < interval) {
                continue;
            }
            if is_large && is_remote {
                if remote_left == 0 {
                    continue;
                }
                remote_left -= 1;
            }
            peer.sent_at = Some(now);
            recipients.push(*address);
        }
        recipients
    }

    /// The hosts of the zone that receive a relay's aggregate in this round. Each has one
    /// primary relay and receives the other's every few rounds.
    fn aggregate_recipients(
        &self,
        peers: &HashMap<SocketAddr, Peer>,
        rank: usize,
        input: &RoundInput,
    ) -> Vec<SocketAddr> {
        let rounds_per_aggregate = input.rounds_per_aggregate.max(1);
        let is_due = |rounds: u64| input.is_urgent || input.number.is_multiple_of(rounds);
        let is_due_for_all = is_due(STANDBY_INTERVAL_SENDS * rounds_per_aggregate);
        let is_due_for_primary = is_due(rounds_per_aggregate);
        let same_zone = peers.iter().filter(|(_, peer)| peer.is_up);
        let same_zone = same_zone.filter(|(_, peer)| peer.zone == Some(self.zone));
        let recipients = same_zone.filter(|(_, peer)| {
            let is_primary = primary_relay_rank(peer) == rank;
            is_due_for_all || is_due_for_primary && is_primary
        });
        recipients.map(|(address, _)| *address).collect()
    }

    /// The hosts to list in a round: in each third one, those with recent heartbeats, in
    /// rotation.
    fn listed_zone_members(
        &self,
        peers: &HashMap<SocketAddr, Peer>,
        input: &RoundInput,
        now: Instant,
    ) -> Vec<ZoneMember> {
        // Large aggregates are sent less often, and then always with a listing.
        let rounds_per_listing = match input.rounds_per_aggregate {
            0 | 1 => ROUNDS_PER_LISTING,
            rounds => rounds,
        };
        if input.is_urgent || !input.number.is_multiple_of(rounds_per_listing) {
            return Vec::new();
        }
        let reporting = peers.iter().filter(|(_, peer)| {
            let is_same_zone = peer.zone == Some(self.zone);
            is_same_zone && peer.is_reporting(now)
        });
        let mut reporting: Vec<ZoneMember> = reporting
            .map(|(address, peer)| ZoneMember {
                address: *address,
                reading: peer.role,
                capacity_millicores: peer.capacity_millicores,
            })
            .collect();
        reporting.sort_by_key(|peer| peer.address);
        let offset = (input.number / rounds_per_listing) as usize % LISTINGS_PER_FULL_LISTING;
        let listed = reporting
            .into_iter()
            .skip(offset)
            .step_by(LISTINGS_PER_FULL_LISTING);
        listed.collect()
    }

    /// The recipients in each other zone: its active relays, or else the hosts most likely
    /// to become relays and a random one in case these are down.
    fn remote_relays(&self, peers: &HashMap<SocketAddr, Peer>, now: Instant) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<u32, Vec<(&SocketAddr, &Peer)>> = BTreeMap::new();
        for (address, peer) in peers {
            if let Some(zone) = peer.zone.filter(|zone| *zone != self.zone) {
                by_zone.entry(zone).or_default().push((address, peer));
            }
        }
        let mut recipients = Vec::new();
        for mut zone_peers in by_zone.into_values() {
            let active_relays = zone_peers
                .iter()
                .filter(|(_, peer)| peer.is_active_relay(now));
            let active_relays: Vec<SocketAddr> =
                active_relays.map(|(address, _)| **address).collect();
            if !active_relays.is_empty() {
                recipients.extend(active_relays.into_iter().take(GOSSIP_FAN_OUT));
                continue;
            }
            let rooms = zone_peers.iter().map(|(_, peer)| peer.capacity_millicores);
            let largest = LargestRoom::of(rooms);
            let rank =
                |peer: &Peer| largest.rank(FleetWork::Relay, peer.hash, peer.capacity_millicores);
            zone_peers.sort_by(|(_, a), (_, b)| {
                let order = rank(b).partial_cmp(&rank(a));
                order.unwrap_or(Ordering::Equal)
            });
            let first = zone_peers.iter().take(GOSSIP_FAN_OUT);
            recipients.extend(first.map(|(address, _)| **address));
            let other = zone_peers.choose(&mut rand::rng());
            recipients.extend(other.map(|(address, _)| **address));
        }
        recipients
    }
}

/// How this host's heartbeats reach the hosts of its zone that are no active relays.
#[derive(Clone, Debug)]
enum HeartbeatPath {
    /// Directly, in each round.
    All,
    /// Through relays.
    Relays,
    /// In each round to the hosts that will be relays, and directly to others in between.
    ExpectedRelays(Vec<MemberHash>),
}

impl HeartbeatPath {
    /// Interval between heartbeats to a host that is up and no active relay.
    fn interval(&self, host: MemberHash) -> Duration {
        match self {
            Self::All => Duration::ZERO,
            Self::Relays => REMOTE_RESEND_INTERVAL,
            Self::ExpectedRelays(hosts) if hosts.contains(&host) => Duration::ZERO,
            Self::ExpectedRelays(_) => DIRECT_RESEND_INTERVAL,
        }
    }
}

struct View {
    others: Vec<ZonePeer>,
    hosts: usize,
    zones: usize,
    /// Zones with a lower hash than this one.
    zones_before: usize,
}

impl View {
    fn zone_view(&self) -> ZoneView<'_> {
        ZoneView {
            others: &self.others,
            hosts: self.hosts,
            zones: self.zones,
        }
    }
}

fn zone_peer((_, peer): (&SocketAddr, &Peer)) -> ZonePeer {
    ZonePeer {
        hash: peer.hash,
        role: peer.role,
        capacity_millicores: peer.capacity_millicores,
    }
}

/// The rank of a host's primary relay.
fn primary_relay_rank(peer: &Peer) -> usize {
    peer.hash.short() as usize % RELAYS_PER_ZONE
}

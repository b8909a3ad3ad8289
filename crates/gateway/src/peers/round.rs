//! The recipients of one gossip round, and what this host does for its zone: to
//! read the platform, and to relay.
//!
//! In a large zone hosts report to relays only. Who sums up for whom follows
//! from what each host hears, and nothing is agreed: a host that hears a relay
//! sum up the fleet reports to relays, one that hears none reports to all, and
//! a relay sums up once its zone is large. So where all relays of a zone fall
//! silent at once, its hosts tell each other all until new relays speak.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_routing::{
    RELAYS_PER_ZONE, SubscriptionRole, ZonePeer, ZoneView, subscribers_needed,
};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::peers::message::{HostContact, ZoneMember};
use crate::peers::peer_table::{Peer, PeerChange, PeerTable, host_hash, mark_silent};

/// How often a host that does not answer is told.
const SILENT_RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// How often a host of another zone, or of a zone that relays sum up, is told,
/// so that the two do not forget each other.
const FAR_RESEND_INTERVAL: Duration = Duration::from_secs(30);
/// Hosts that a datagram names, so that all find each other.
const NAMED_MAX: usize = 4;
/// Hosts of each other zone that a relay tells.
const GOSSIP_FAN_OUT: usize = 2;
/// Zones whose readers take changes as soon as they can; those of the others
/// hear of most from these.
const ZONES_READING_FIRST: usize = 2;
/// Rounds in which a relay names all hosts of its zone.
const ROUNDS_TO_NAME_ALL: usize = 5;
/// Rounds in which a relay sends its sum once to hosts that go by another relay.
/// They fall back on it when that one is silent.
const STANDBY_ROUNDS: u64 = 3;

/// What a host knows and does as a round begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundInput {
    /// The number of the round.
    pub(crate) number: u64,
    /// Whether there is news that all should have at once.
    pub(crate) is_news: bool,
    /// Rounds in which a relay sends its sum once: more for a large sum.
    pub(crate) rounds_a_sum: u64,
    /// How this host stands to the platform.
    pub(crate) reading: SubscriptionRole,
    /// Hosts whose requests are known, this one included.
    pub(crate) hosts_known: usize,
    /// Whether this host goes by what relays of its zone sum up.
    pub(crate) uses_fleet_aggregate: bool,
}

/// The recipients of one gossip round.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipRound {
    /// Recipients of this host's heartbeat.
    pub(crate) due: Vec<SocketAddr>,
    /// Hosts to name to them, which they may not know.
    pub(crate) named: Vec<HostContact>,
    /// Hosts of other zones to tell of this zone, if this host is a relay.
    pub(crate) far: Vec<SocketAddr>,
    /// Hosts of the own zone to send the sum of the fleet, if this host is a
    /// relay of a large zone.
    pub(crate) sum_to: Vec<SocketAddr>,
    /// Hosts of the zone to name to these.
    pub(crate) members: Vec<ZoneMember>,
    pub(crate) is_subscriber: bool,
    /// Whether this host comes among the first to read, whoever does so far.
    pub(crate) is_preferred_subscriber: bool,
    /// Whether readers of other zones come first.
    pub(crate) is_standby: bool,
    pub(crate) is_relay: bool,
    /// Whether what this host does as a relay has changed.
    pub(crate) is_relay_news: bool,
    /// Whether this host, as a relay, sums up the fleet for its zone.
    pub(crate) aggregates: bool,
    pub(crate) gone: Vec<PeerChange>,
    /// Hosts that share the reading: all of a small fleet, the readers of a
    /// large one.
    pub(crate) sharing: usize,
    /// All hosts that are known.
    pub(crate) hosts: usize,
    /// The hosts among which those are drawn that send to cold endpoints.
    pub(crate) cold_senders: Vec<MemberHash>,
}

impl PeerTable {
    /// Works out the recipients of the next round and this host's roles.
    pub(crate) fn round(&self, input: &RoundInput) -> GossipRound {
        let now = Instant::now();
        let named = self.named();
        let mut known = self.known();
        known.retain(|_, member| !member.is_forgotten(now));
        let gone = mark_silent(&mut known, self.zone, now);
        let view = self.view(&known, input.hosts_known);
        let zone_view = view.zone_view();
        let own = ZonePeer {
            hash: host_hash(&self.own),
            role: input.reading,
            capacity_millicores: self.capacity_millicores,
        };
        let is_large = zone_view.is_large();
        let place = zone_view.relay_rank(&own).filter(|_| is_large);
        let uses_relays = zone_view.uses_relays(self.aggregates());
        let aggregates = place.is_some() && uses_relays;
        let is_relay_news = self.set_relay(place.is_some(), aggregates);
        let writer_rank = if is_large {
            place.map(|place| RELAYS_PER_ZONE * view.zones_before + place)
        } else {
            Some(zone_view.rank(&own))
        };
        self.set_writer_place(writer_rank);
        let mut round = GossipRound {
            is_subscriber: zone_view.is_subscriber(&own),
            is_preferred_subscriber: zone_view.is_preferred_subscriber(&own),
            named,
            is_standby: view.zones_before >= ZONES_READING_FIRST,
            is_relay: place.is_some(),
            is_relay_news,
            aggregates,
            gone,
            sharing: if is_large {
                subscribers_needed(view.hosts)
            } else {
                view.others.len()
            },
            hosts: view.hosts,
            cold_senders: self.cold_senders(&known),
            ..GossipRound::default()
        };
        if let Some(place) = place {
            round.far = self.far_relays(&known, now);
            if aggregates {
                round.sum_to = self.sum_to(&known, place, input);
                round.members = self.members(&known, input.number, now);
            }
        }
        let reports_to_relays = aggregates || input.uses_fleet_aggregate;
        round.due = self.due(&mut known, now, is_large, reports_to_relays);
        round
    }

    /// Some hosts that are up, any of them.
    fn named(&self) -> Vec<HostContact> {
        let up = self.up();
        up.sample(&mut rand::rng(), NAMED_MAX).copied().collect()
    }

    fn view(&self, known: &HashMap<SocketAddr, Peer>, hosts_known: usize) -> View {
        let up = || known.iter().filter(|(_, member)| member.is_up);
        let near = up().filter(|(_, member)| member.zone == Some(self.zone));
        let others: Vec<ZonePeer> = near.map(heard_host).collect();
        let mut zones: Vec<u32> = known.values().filter_map(|member| member.zone).collect();
        zones.push(self.zone);
        zones.sort_unstable();
        zones.dedup();
        let of_zones = View {
            hosts: hosts_known.max(1 + up().count()),
            zones: zones.len(),
            zones_before: zones.iter().filter(|zone| **zone < self.zone).count(),
            others,
        };
        let is_large = of_zones.zone_view().is_large();
        if is_large {
            return of_zones;
        }
        View {
            zones: 1,
            zones_before: 0,
            others: up().map(heard_host).collect(),
            ..of_zones
        }
    }

    fn due(
        &self,
        known: &mut HashMap<SocketAddr, Peer>,
        now: Instant,
        is_large: bool,
        reports_to_relays: bool,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, member) in known {
            let is_far = member.zone.is_some_and(|zone| zone != self.zone);
            let hears_by_relays = reports_to_relays && !member.aggregates(now);
            let pause = if is_large && is_far {
                FAR_RESEND_INTERVAL
            } else if !member.is_up {
                SILENT_RESEND_INTERVAL
            } else if hears_by_relays {
                FAR_RESEND_INTERVAL
            } else {
                Duration::ZERO
            };
            if member.sent_at.is_none_or(|sent_at| now - sent_at >= pause) {
                member.sent_at = Some(now);
                due.push(*address);
            }
        }
        due
    }

    /// The hosts of the zone that are sent a relay's sum in this round. Each
    /// goes by one of the two relays, and hears the other every few rounds.
    fn sum_to(
        &self,
        known: &HashMap<SocketAddr, Peer>,
        place: usize,
        input: &RoundInput,
    ) -> Vec<SocketAddr> {
        let rounds_a_sum = input.rounds_a_sum.max(1);
        let is_turn = |rounds: u64| input.is_news || input.number.is_multiple_of(rounds);
        let is_turn_of_all = is_turn(STANDBY_ROUNDS * rounds_a_sum);
        let is_turn_of_own = is_turn(rounds_a_sum);
        let near = known.iter().filter(|(_, member)| member.is_up);
        let near = near.filter(|(_, member)| member.zone == Some(self.zone));
        let due = near.filter(|(address, _)| {
            let goes_by_this = relay_of(address) == place;
            is_turn_of_all || is_turn_of_own && goes_by_this
        });
        due.map(|(address, _)| *address).collect()
    }

    /// The hosts of the zone to name in a round: those that this host hears
    /// itself, all in turn.
    fn members(
        &self,
        known: &HashMap<SocketAddr, Peer>,
        number: u64,
        now: Instant,
    ) -> Vec<ZoneMember> {
        let heard = known.iter().filter(|(_, member)| {
            let is_same_zone = member.zone == Some(self.zone);
            is_same_zone && member.is_heard(now)
        });
        let mut heard: Vec<ZoneMember> = heard
            .map(|(address, member)| ZoneMember {
                address: *address,
                reading: member.reading,
                capacity_millicores: member.capacity_millicores,
            })
            .collect();
        heard.sort_by_key(|member| member.address);
        let turn = number as usize % ROUNDS_TO_NAME_ALL;
        let of_turn = heard.into_iter().skip(turn).step_by(ROUNDS_TO_NAME_ALL);
        of_turn.collect()
    }

    /// The hosts of each other zone that pass on what they are told: those that
    /// spoke for it, else those that come first by rank, and one at random in
    /// case these are gone.
    fn far_relays(&self, known: &HashMap<SocketAddr, Peer>, now: Instant) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<u32, Vec<(&SocketAddr, &Peer)>> = BTreeMap::new();
        for (address, member) in known {
            if let Some(zone) = member.zone.filter(|zone| *zone != self.zone) {
                by_zone.entry(zone).or_default().push((address, member));
            }
        }
        let mut told = Vec::new();
        for mut of_zone in by_zone.into_values() {
            let relays = of_zone.iter().filter(|(_, member)| member.relays(now));
            let relays: Vec<SocketAddr> = relays.map(|(address, _)| **address).collect();
            if !relays.is_empty() {
                told.extend(relays.into_iter().take(GOSSIP_FAN_OUT));
                continue;
            }
            of_zone.sort_by(|(a, peer_a), (b, peer_b)| {
                let by_capacity = peer_b.capacity_millicores.cmp(&peer_a.capacity_millicores);
                by_capacity.then_with(|| rank(b).total_cmp(&rank(a)))
            });
            let first = of_zone.iter().take(GOSSIP_FAN_OUT);
            told.extend(first.map(|(address, _)| **address));
            let other = of_zone.choose(&mut rand::rng());
            told.extend(other.map(|(address, _)| **address));
        }
        told
    }
}

struct View {
    others: Vec<ZonePeer>,
    hosts: usize,
    zones: usize,
    /// Zones that come before the host's own, by their hashes.
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

fn heard_host((address, member): (&SocketAddr, &Peer)) -> ZonePeer {
    ZonePeer {
        hash: host_hash(address),
        role: member.reading,
        capacity_millicores: member.capacity_millicores,
    }
}

/// The order in which equally strong hosts become relays, the same as among
/// themselves.
fn rank(address: &SocketAddr) -> f64 {
    score(KeyHash(0), host_hash(address), 1.0)
}

/// The place of the relay that a host goes by.
fn relay_of(address: &SocketAddr) -> usize {
    host_hash(address).short() as usize % RELAYS_PER_ZONE
}

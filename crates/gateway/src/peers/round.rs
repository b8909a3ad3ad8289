//! Recipients of one gossip round, and this host's roles in its zone.
//!
//!
//! Roles follow from each host's own view, without agreement. A host reports only to relays
//! while it receives fleet aggregates from them, and otherwise to all hosts of its zone. If
//! all relays of a zone fail at once, its hosts exchange heartbeats until new relays take
//! over.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_routing::{HeardHost, RELAYS, SubscriptionRole, ZoneView, readers_wanted};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::peers::membership::{Member, MemberChange, Membership, host_hash, mark_silent};
use crate::peers::message::{NamedHost, ZoneMember};

/// Interval between heartbeats to a host that is down.
const SILENT_RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between heartbeats to hosts of other zones, or within a zone served by relays,
/// so that they do not forget each other.
const FAR_RESEND_INTERVAL: Duration = Duration::from_secs(30);
/// Hosts listed in a heartbeat for discovery.
const NAMED_MAX: usize = 4;
/// Relays of each other zone that receive the aggregate.
const GOSSIP_FAN_OUT: usize = 2;
/// Zones whose subscribers read changes without delay; those of other zones are standbys.
const ZONES_READING_FIRST: usize = 2;
/// Rounds in which a relay lists all hosts of its zone once.
const ROUNDS_TO_NAME_ALL: usize = 5;
/// A host receives the standby relay's aggregate once in this many sends.
const STANDBY_ROUNDS: u64 = 3;

/// State of this host at the start of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundInput {
    /// Number of regular rounds so far.
    pub(crate) number: u64,
    /// Whether an update must reach all recipients at once.
    pub(crate) is_news: bool,
    /// Rounds between two aggregates; more for a large one.
    pub(crate) rounds_a_sum: u64,
    /// Subscription role of this host.
    pub(crate) reading: SubscriptionRole,
    /// Hosts whose load is known, this one included.
    pub(crate) hosts_known: usize,
    /// Whether this host uses the fleet aggregate of its zone's relays.
    pub(crate) goes_by_totals: bool,
}

/// Recipients and roles of one gossip round.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipRound {
    /// Recipients of this host's heartbeat.
    pub(crate) due: Vec<SocketAddr>,
    /// Hosts listed in the heartbeat.
    pub(crate) named: Vec<NamedHost>,
    /// Relays of other zones that receive this zone's aggregate, if this host is a relay.
    pub(crate) far: Vec<SocketAddr>,
    /// Hosts of this zone that receive the fleet aggregate, if this host is a relay of a
    /// large zone.
    pub(crate) sum_to: Vec<SocketAddr>,
    /// Hosts listed in the relay's summary.
    pub(crate) members: Vec<ZoneMember>,
    pub(crate) reads_platform: bool,
    /// Whether this host would be a subscriber if there were none yet.
    pub(crate) is_first_choice: bool,
    /// Whether subscribers of other zones read first.
    pub(crate) is_standby: bool,
    pub(crate) is_relay: bool,
    /// Whether this host's relay roles changed.
    pub(crate) is_relay_news: bool,
    /// Whether this host sends the fleet aggregate to its zone.
    pub(crate) sums_up: bool,
    pub(crate) gone: Vec<MemberChange>,
    /// Hosts that share the store subscription.
    pub(crate) sharing: usize,
    /// All known hosts.
    pub(crate) hosts: usize,
    /// The hosts that share the request rate of cold endpoints.
    pub(crate) cold_senders: Vec<MemberHash>,
}

impl Membership {
    /// Computes the recipients of the next round and this host's roles.
    pub(crate) fn round(&self, input: &RoundInput) -> GossipRound {
        let now = Instant::now();
        let named = self.named();
        let mut known = self.known();
        known.retain(|_, member| !member.is_forgotten(now));
        let gone = mark_silent(&mut known, self.zone, now);
        let view = self.view(&known, input.hosts_known);
        let zone_view = view.zone_view();
        let own = HeardHost {
            hash: host_hash(&self.own),
            reading: input.reading,
            capacity_millicores: self.capacity_millicores,
        };
        let is_large = zone_view.is_large();
        let place = zone_view.relay_place(&own).filter(|_| is_large);
        let is_relayed = zone_view.is_relayed(self.sums_up());
        let sums_up = place.is_some() && is_relayed;
        let is_relay_news = self.set_relay(place.is_some(), sums_up);
        let writer_place = if is_large {
            place.map(|place| RELAYS * view.zones_before + place)
        } else {
            Some(zone_view.place(&own))
        };
        self.set_writer_place(writer_place);
        let mut round = GossipRound {
            reads_platform: zone_view.reads_platform(&own),
            is_first_choice: zone_view.is_first_choice(&own),
            named,
            is_standby: view.zones_before >= ZONES_READING_FIRST,
            is_relay: place.is_some(),
            is_relay_news,
            sums_up,
            gone,
            sharing: if is_large {
                readers_wanted(view.hosts)
            } else {
                view.others.len()
            },
            hosts: view.hosts,
            cold_senders: self.cold_senders(&known),
            ..GossipRound::default()
        };
        if let Some(place) = place {
            round.far = self.far_relays(&known, now);
            if sums_up {
                round.sum_to = self.sum_to(&known, place, input);
                round.members = self.members(&known, input.number, now);
            }
        }
        let reports_to_relays = sums_up || input.goes_by_totals;
        round.due = self.due(&mut known, now, is_large, reports_to_relays);
        round
    }

    /// A random sample of the hosts that are up.
    fn named(&self) -> Vec<NamedHost> {
        let up = self.up();
        up.sample(&mut rand::rng(), NAMED_MAX).copied().collect()
    }

    fn view(&self, known: &HashMap<SocketAddr, Member>, hosts_known: usize) -> View {
        let up = || known.iter().filter(|(_, member)| member.is_up);
        let near = up().filter(|(_, member)| member.zone == Some(self.zone));
        let others: Vec<HeardHost> = near.map(heard_host).collect();
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
        known: &mut HashMap<SocketAddr, Member>,
        now: Instant,
        is_large: bool,
        reports_to_relays: bool,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, member) in known {
            let is_far = member.zone.is_some_and(|zone| zone != self.zone);
            let hears_by_relays = reports_to_relays && !member.sums_up(now);
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

    /// The hosts of the zone that receive a relay's aggregate in this round. Each has one
    /// primary relay and receives the other's every few rounds.
    fn sum_to(
        &self,
        known: &HashMap<SocketAddr, Member>,
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

    /// The hosts to list in a round: those with recent heartbeats, in rotation.
    fn members(
        &self,
        known: &HashMap<SocketAddr, Member>,
        number: u64,
        now: Instant,
    ) -> Vec<ZoneMember> {
        let heard = known.iter().filter(|(_, member)| {
            let is_near = member.zone == Some(self.zone);
            is_near && member.is_heard(now)
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

    /// The recipients in each other zone: its active relays, or else the hosts most likely
    /// to become relays and a random one in case these are down.
    fn far_relays(&self, known: &HashMap<SocketAddr, Member>, now: Instant) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<u32, Vec<(&SocketAddr, &Member)>> = BTreeMap::new();
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
    others: Vec<HeardHost>,
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

fn heard_host((address, member): (&SocketAddr, &Member)) -> HeardHost {
    HeardHost {
        hash: host_hash(address),
        reading: member.reading,
        capacity_millicores: member.capacity_millicores,
    }
}

/// Ranks hosts of equal capacity, as their own zone does.
fn rank(address: &SocketAddr) -> f64 {
    score(KeyHash(0), host_hash(address), 1.0)
}

/// The rank of a host's primary relay.
fn relay_of(address: &SocketAddr) -> usize {
    host_hash(address).short() as usize % RELAYS
}

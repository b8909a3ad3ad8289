//! Exchanges load and state with the other hosts of the fleet.
//!
//! Each host periodically sends a datagram with its requests in progress by endpoint, the
//! versions it knows and the endpoints that are leaving. Datagrams are not acknowledged:
//! the next one replaces a lost one. A host that learns of a newer version pulls it from
//! the sender.
//!
//! In a small fleet each host reports to all others. In a large fleet it reports to hosts
//! of its own availability zone, and two relays of each zone send the zone's aggregate to
//! other zones, so that cross-zone traffic does not grow quadratically. In a large zone
//! hosts report only to their relays, which send back the aggregate of the fleet. Relays
//! follow from each host's own view without agreement, and the aggregate of any one relay
//! is sufficient.

mod api;
mod list_check;
mod membership;
mod message;
mod publish;
mod pull;
mod pull_calls;
mod pull_turns;
mod reachability;
mod receive;
mod rollouts;
mod round;
mod serve;
mod uploads;

pub(crate) use api::{BuildsUpdate, KnownBuilds};
pub(crate) use list_check::check_list;
pub(crate) use membership::{PeerTable, zone_hash};
pub(crate) use message::{Datagram, SlotRedirect};
pub(crate) use publish::publish;
pub(crate) use pull::{catch_up_with_any, pull_at_start, pull_when_outdated};
pub(crate) use pull_calls::ask_for_builds;
pub(crate) use reachability::{BrokenPaths, exchange_reachability};
pub(crate) use receive::receive;
pub(crate) use serve::serve_pulls;

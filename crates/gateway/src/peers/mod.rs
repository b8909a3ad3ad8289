//! The other hosts: who they are, what they have in progress, what they know.
//!
//! A few times a second each host sends others a datagram with its requests in
//! progress by endpoint, the versions that it knows and the endpoints that it
//! heard say they leave. Nothing is agreed and nothing is answered: a datagram
//! that is lost is replaced by the next. A host that learns of a newer version
//! takes it from the one that knows it.
//!
//! In a small fleet each host reports to all others. In a large one it reports to
//! those of its availability zone, and two relays of each zone send the other
//! zones the sum: what crosses zones does not grow with the square of the hosts.
//! In a large zone hosts report to their relays alone, and relays send them the
//! sum of the whole fleet: what a host sends and receives does not grow with the
//! fleet but for that sum. Any host may be a relay, none is agreed on, and the sum of
//! any one relay is enough.

mod api;
mod message;
mod peer_table;
mod publish;
mod pull;
mod receive;
mod rollouts;
mod round;
mod serve;
mod uploads;

pub(crate) use api::KnownBuilds;
pub(crate) use peer_table::{PeerTable, zone_hash};
pub(crate) use publish::publish;
pub(crate) use pull::{catch_up_with_any, pull_at_start, pull_when_outdated};
pub(crate) use receive::receive;
pub(crate) use serve::serve_pulls;

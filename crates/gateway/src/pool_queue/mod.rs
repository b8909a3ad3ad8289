//! One queue of the fleet for each contended pool.
//!
//! Requests of a contended pool wait on their hosts ([`PoolQueues`]) until the pool's
//! scheduler grants them a slot. One task per host exchanges asks and replies with the
//! schedulers of its pools, and schedules the pools for which this host ranks first.

mod client;
mod exchange;
mod schedulers;
mod slot_wait;
mod waiting;

pub(crate) use client::{NewRequest, PoolQueues};
pub(crate) use exchange::{Inbound, exchange_slots};
pub(crate) use slot_wait::{GrantedSlot, wait_for_slot};
pub(crate) use waiting::Lease;

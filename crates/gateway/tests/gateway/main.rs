//! Tests of the gateway with scripted endpoints, over loopback.

mod attempts;
mod backlog;
mod builds;
mod calls;
mod control_traffic;
mod crashes;
mod endpoint_connections;
mod endpoint_reports;
mod eras;
mod evacuations;
mod fair_shares;
mod large_rules;
mod partitions;
mod peers;
mod pool_queue;
mod recovery;
mod restarts;
mod rollouts;
mod rows;
mod silences;
mod slow_readers;
mod stops;
mod streams;
mod support;
mod suspensions;
mod work;

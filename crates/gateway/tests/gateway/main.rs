//! Tests of the gateway with scripted endpoints, over loopback.

mod attempts;
mod builds;
mod calls;
mod crashes;
mod endpoint_reports;
mod eras;
mod evacuations;
mod large_rules;
mod peers;
mod rollouts;
mod rows;
mod silences;
mod slow_readers;
mod stops;
mod streams;
mod support;
mod suspensions;
mod work;

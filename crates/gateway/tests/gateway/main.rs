//! The gateway before scripted endpoints, over loopback.

mod attempts;
mod calls;
mod peers;
mod silences;
mod stops;
mod streams;
mod support;

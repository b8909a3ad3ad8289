//! A gateway before scripted endpoints, with an edge and a source of its own.

#![allow(dead_code, reason = "each test file uses a part")]

mod edge;
mod endpoint;
mod fleet;
mod source;

pub use edge::TestEdge;
pub use endpoint::{Behaviour, Script, ScriptedEndpoint, event};
pub use fleet::{Call, KEY, Received, TestGateway, receive, route, rules};
pub use source::TestSource;

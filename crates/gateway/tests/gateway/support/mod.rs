//! A gateway before scripted endpoints, with an edge and a source of its own.

mod edge;
mod endpoint;
mod fleet;
mod source;

pub(crate) use edge::TestEdge;
pub(crate) use endpoint::{Behaviour, Script, ScriptedEndpoint, event};
pub(crate) use fleet::{Call, Received, TestGateway, receive, rules, until};
pub(crate) use source::TestSource;

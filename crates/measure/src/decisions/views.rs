//! What hosts believe: which engines exist, and who owns each.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{PlaceOption, owner_index};

use super::engines::{Engine, EngineId};

/// A host's number.
pub(crate) type HostNumber = usize;

/// One view of the fleet; hosts share it.
#[derive(Debug)]
pub(crate) struct View {
    /// Later views have higher numbers; a lagging list never goes back.
    pub(crate) number: u64,
    /// Live engines.
    pub(crate) engines: Vec<EngineId>,
    /// The same, as placements see them.
    pub(crate) options: Vec<PlaceOption>,
    /// The owner of each, at the same index.
    pub(crate) owners: Vec<HostNumber>,
    /// Hosts that are believed to live.
    pub(crate) hosts: Vec<HostNumber>,
    index_of: Vec<Option<usize>>,
}

impl View {
    /// A view of the live engines, owned by the hosts given.
    pub(crate) fn new(number: u64, all: &[Engine], hosts: &[HostNumber]) -> Self {
        let engines: Vec<EngineId> = (0..all.len()).filter(|id| all[*id].live).collect();
        let hashes: Vec<MemberHash> = hosts.iter().map(|host| host_hash(*host)).collect();
        let mut index_of = vec![None; all.len()];
        let mut options = Vec::with_capacity(engines.len());
        let mut owners = Vec::with_capacity(engines.len());
        for (index, id) in engines.iter().enumerate() {
            let engine = &all[*id];
            index_of[*id] = Some(index);
            options.push(PlaceOption {
                hash: engine.hash,
                weight: engine.weight,
            });
            owners.push(owner_index(engine.hash, &hashes).map_or(0, |i| hosts[i]));
        }
        Self {
            number,
            engines,
            options,
            owners,
            hosts: hosts.to_vec(),
            index_of,
        }
    }

    /// The index of an engine, if the view has it.
    pub(crate) fn index(&self, engine: EngineId) -> Option<usize> {
        self.index_of.get(engine).copied().flatten()
    }

    /// The owner of an engine, if the view has it.
    pub(crate) fn owner(&self, engine: EngineId) -> Option<HostNumber> {
        self.index(engine).map(|index| self.owners[index])
    }
}

fn host_hash(host: HostNumber) -> MemberHash {
    MemberHash::of(&format!("host-{host}"))
}

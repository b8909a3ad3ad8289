//! Configuration of the quickstart fleet.

use chalkrock_core::{FleetConfig, Organisation, Pool, PoolKind, key_digest};

/// Model that the engines serve.
pub const MODEL: &str = "stand-in-7b";
/// Name of the plain service.
pub const SERVICE: &str = "finder";
/// Organisations and their API keys.
pub const ORGANISATION_KEYS: [(&str, &str); 3] = [
    ("dispatch", "key-dispatch"),
    ("drivers", "key-drivers"),
    ("roadside", "key-roadside"),
];
/// API key of the operators.
pub const OPERATOR_KEY: &str = "key-operator";
/// Shared secret of the fleet.
pub(crate) const FLEET_KEY: &str = "quickstart-fleet-key";
/// Name of the engine pool.
pub(crate) const POOL: &str = "chat";

/// Returns the initial configuration.
pub(crate) fn initial_config() -> FleetConfig {
    let organisations = ORGANISATION_KEYS
        .iter()
        .map(|(name, key)| Organisation {
            name: (*name).into(),
            weight: 1,
            key_sha256: vec![key_digest(key)],
        })
        .collect();
    let engines = Pool {
        name: POOL.into(),
        kind: PoolKind::Engines {
            models: vec![MODEL.into()],
        },
        load_multiple: 1.25,
        deadline_ms: 60_000,
    };
    let service = Pool {
        name: SERVICE.into(),
        kind: PoolKind::Service {
            unsafe_to_repeat: false,
        },
        load_multiple: 1.25,
        deadline_ms: 10_000,
    };
    FleetConfig {
        organisations,
        pools: vec![engines, service],
    }
}

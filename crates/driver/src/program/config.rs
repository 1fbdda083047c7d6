//! What a driver is told at its start.

use crate::protocol::endpoint_list::{self, EndpointList};
use crate::protocol::statement_comment::hash_id;
use crate::routing::runtime_config::RuntimeConfig;
use asterlatch::interface::Settings;
use asterlatch_settings::{Decoding, Pairs};
use serde_json::Value;
use std::net::SocketAddr;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub runtime: RuntimeConfig,
    pub seed: u64,
    pub known: Option<EndpointList>,
    pub settings: (Settings, Decoding),
    /// The same for the same text of the settings.
    pub settings_text: u64,
}

/// Where nothing else is said.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;

/// The seed is read as a hexadecimal number where it is one, and is hashed otherwise.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_id(text))
}

/// Reads the file at `path`; the environment's words on name and addresses stand where the file has none.
pub fn load(path: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    let value: Value = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    read(&value, environment).map_err(|e| format!("{path}: {e}"))
}

pub fn read(value: &Value, environment: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let text = |name: &str, variable: &str| {
        let given = value.get(name).and_then(Value::as_str).map(str::to_owned);
        let given = given.or_else(|| environment(variable));
        given.ok_or_else(|| format!("neither '{name}' nor {variable} is given"))
    };
    let address = |name: &str, variable: &str| {
        let text = text(name, variable)?;
        text.parse()
            .map_err(|_| format!("'{name}' is no address: {text}"))
    };
    let limit = |name: &str, absent: u64| {
        let limit = value
            .get("limits")
            .and_then(|l| l.get(name))
            .and_then(Value::as_u64);
        limit.unwrap_or(absent) as usize
    };
    let settings = value.get("settings").ok_or("no settings")?;
    let settings_text = hash_id(&settings.to_string());
    let settings = Pairs::from_json(settings).and_then(|pairs| asterlatch_settings::read(&pairs));
    let settings = settings.map_err(|e| e.to_string())?;
    if settings.0.workloads.is_empty() {
        return Err("the settings name no workload".to_owned());
    }
    Ok(Config {
        name: text("name", "RELAY_NAME").unwrap_or_default(),
        listen: address("listen", "RELAY_LISTEN")?,
        runtime: RuntimeConfig {
            discovery: address("discovery", "RELAY_DISCOVERY")?,
            max_memory: limit("memory_mb", MEMORY_MB) * 1024 * 1024,
            max_descriptors: limit("sockets", SOCKETS),
        },
        seed: seed(value.get("seed").and_then(Value::as_str).unwrap_or_default()),
        known: value.get("known").and_then(endpoint_list::from_value),
        settings,
        settings_text,
    })
}

impl Config {
    /// What of a newer configuration only a new start takes over: the module is made for its settings.
    pub fn kept(&self, newer: &Config) -> Vec<&'static str> {
        let kept = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("settings", self.settings_text != newer.settings_text),
        ];
        let changed = kept.into_iter().filter(|(_, changed)| *changed);
        changed.map(|(name, _)| name).collect()
    }
}

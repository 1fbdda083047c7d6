//! The configuration file: a JSON object that `asterlatch serve` reads at startup; SIGHUP reloads part of it.

use crate::protocol::endpoint_list::{self, EndpointList};
use crate::protocol::statement_comment::hash_id;
use crate::routing::runtime_config::RuntimeConfig;
use asterlatch::interface::Settings;
use asterlatch_settings::{Decoding, SettingsMap};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Memory limit if the file states none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Descriptor limit if the file states none.
const DEFAULT_SOCKETS: u64 = 1024;
const BYTES_PER_MB: usize = 1024 * 1024;

/// A valid configuration.
pub struct Config {
    /// Name of this driver; empty if none is configured.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// The part that a reload applies.
    pub runtime: RuntimeConfig,
    /// Seed of the policy's random decisions.
    pub seed: u64,
    /// Endpoint list in use until discovery returns one.
    pub known_endpoints: Option<EndpointList>,
    /// The deployment's settings for the policy.
    pub settings: Settings,
    /// The deployment's settings for decoding statements.
    pub decoding: Decoding,
    /// Hash of the settings' text; equal texts have equal hashes.
    pub settings_hash: u64,
}

/// Why a configuration file can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("cannot parse {path}: {source}")]
    InvalidJson {
        /// The file.
        path: String,
        /// Location and cause.
        source: serde_json::Error,
    },
    /// A value is missing or invalid.
    #[error("invalid configuration {path}: {source}")]
    InvalidValue {
        /// The file.
        path: String,
        /// The value and its fault.
        source: ValueError,
    },
}

/// A value of the configuration is missing or invalid.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// Neither the file nor the environment states it.
    #[error("'{name}' is missing, and {variable} is not set")]
    Missing {
        /// Key in the file.
        name: &'static str,
        /// Environment variable that is its fallback.
        variable: &'static str,
    },
    /// The value is not an IP address with a port.
    #[error("'{name}' is not a socket address: {text}")]
    InvalidAddress {
        /// Key in the file.
        name: &'static str,
        /// The invalid value.
        text: String,
    },
    /// The file has no settings.
    #[error("'settings' is missing")]
    SettingsMissing,
    /// The settings are invalid.
    #[error("{0}")]
    InvalidSettings(#[from] asterlatch_settings::SettingsError),
    /// Without a workload no statement could be served.
    #[error("'settings' has no workload")]
    WorkloadsMissing,
}

/// Reads the file at `path`. `environment` returns the value of an environment variable, the fallback for a
/// name or an address that the file doesn't state.
///
/// # Errors
/// If the file can't be read, or a value is missing or invalid.
pub fn load(path: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let text = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    let value = serde_json::from_slice(&text).map_err(|source| ConfigError::InvalidJson {
        path: path.to_owned(),
        source,
    })?;
    read(&value, environment).map_err(|source| ConfigError::InvalidValue {
        path: path.to_owned(),
        source,
    })
}

/// Reads a configuration from the file's JSON value; `environment` as in [`load`].
///
/// # Errors
/// If a value is missing or invalid.
pub fn read(value: &Value, environment: impl Fn(&str) -> Option<String>) -> Result<Config, ValueError> {
    let file = ConfigFile { value, environment };
    let settings_value = value.get("settings").ok_or(ValueError::SettingsMissing)?;
    let (settings, decoding) = SettingsMap::from_json(settings_value)
        .and_then(|pairs| asterlatch_settings::read(&pairs))
        .map_err(ValueError::InvalidSettings)?;
    if settings.workloads.is_empty() {
        return Err(ValueError::WorkloadsMissing);
    }
    Ok(Config {
        name: file.text("name", "RELAY_NAME").unwrap_or_default(),
        listen: file.address("listen", "RELAY_LISTEN")?,
        runtime: RuntimeConfig {
            discovery: file.address("discovery", "RELAY_DISCOVERY")?,
            max_memory: file.limit("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB,
            max_descriptors: file.limit("sockets", DEFAULT_SOCKETS),
        },
        seed: parse_seed(value.get("seed").and_then(Value::as_str).unwrap_or_default()),
        known_endpoints: value.get("known").and_then(endpoint_list::from_value),
        settings,
        decoding,
        settings_hash: hash_id(&settings_value.to_string()),
    })
}

/// The parsed file, with the environment as fallback.
struct ConfigFile<'a, E> {
    value: &'a Value,
    environment: E,
}

impl<E: Fn(&str) -> Option<String>> ConfigFile<'_, E> {
    fn text(&self, name: &'static str, variable: &'static str) -> Result<String, ValueError> {
        let configured = self.value.get(name).and_then(Value::as_str);
        configured
            .map(str::to_owned)
            .or_else(|| (self.environment)(variable))
            .ok_or(ValueError::Missing { name, variable })
    }

    fn address(&self, name: &'static str, variable: &'static str) -> Result<SocketAddr, ValueError> {
        let text = self.text(name, variable)?;
        text.parse()
            .map_err(|_| ValueError::InvalidAddress { name, text })
    }

    fn limit(&self, name: &str, default: u64) -> usize {
        let limits = self.value.get("limits");
        let limit = limits.and_then(|limits| limits.get(name)).and_then(Value::as_u64);
        limit.unwrap_or(default) as usize
    }
}

/// Parses a hexadecimal seed; any other text is hashed.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_id(text))
}

impl Config {
    /// Keys whose values differ in `newer` and that only a restart applies.
    pub fn changes_requiring_restart(&self, newer: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("settings", self.settings_hash != newer.settings_hash),
        ];
        let changed = keys.into_iter().filter(|(_, is_changed)| *is_changed);
        changed.map(|(key, _)| key).collect()
    }
}

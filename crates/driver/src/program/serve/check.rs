//! `asterlatch check`.

use super::ServeError;
use crate::program::config::Config;
use crate::program::operators::{self, OperatorsError};
use std::net::TcpListener;

/// Checks whether a configuration and an operators' file can be served, and prints a summary. Binds the
/// listen address briefly.
///
/// # Errors
/// If the operators' file is faulty or the listen address can't be bound.
pub fn check(config: &Config, operators_file: Option<&str>) -> Result<(), ServeError> {
    if let Some(path) = operators_file {
        check_operators_file(config, path)?;
    }
    let address = config.listen;
    TcpListener::bind(address).map_err(|source| ServeError::Listener { address, source })?;
    let members = config
        .known_endpoints
        .as_ref()
        .map_or(0, |list| list.entries.len());
    let settings = &config.settings;
    let workloads = settings.workloads.len();
    println!("{}: {workloads} workloads, {members} members known", config.name);
    Ok(())
}

/// Prints warnings to standard error.
fn check_operators_file(config: &Config, path: &str) -> Result<(), ServeError> {
    let outcome = operators::read(path, operators::machine_limits(config));
    let text = outcome.render_diagnostics();
    let text = text.trim_end();
    if outcome.settings.is_none() {
        let errors = text.to_owned();
        return Err(OperatorsError::Invalid { errors }.into());
    }
    if !text.is_empty() {
        eprintln!("{text}");
    }
    Ok(())
}

//! Parser of discovery's endpoint list, which is JSON.

use super::replica_status;
use serde_json::Value;

/// Status of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointStatus {
    /// `SERVING`
    Serving,
    /// `DRAINING`
    Draining,
    /// `DELETED`
    Deleted,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the member, the same at all drivers.
    pub name: String,
    /// `host:port`; may be empty for a deleted endpoint.
    pub address: String,
    /// Name of the zone.
    pub zone: String,
    /// Id of the group.
    pub group: u32,
    /// Status of the endpoint.
    pub status: EndpointStatus,
    /// Capacity relative to other endpoints; 1 by default.
    pub weight: f64,
    /// Unix time of the last start in milliseconds; zero if unknown or long ago.
    pub since_ms: u64,
    /// Whether the list declares it as the primary.
    pub is_primary: bool,
}

/// A version of the endpoint list, or changes up to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Number of the version.
    pub index: u64,
    /// Whether this is the complete list rather than changes.
    pub is_complete: bool,
    /// Valid entries.
    pub entries: Vec<Endpoint>,
    /// Number of invalid entries, which were skipped.
    pub skipped: usize,
}

/// Maximum nesting depth of the JSON; a valid list has a depth of three.
const MAX_NESTING_DEPTH: usize = 16;

fn parse_entry(value: &Value) -> Option<Endpoint> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let non_empty = |name: &str| text(name).filter(|t| !t.is_empty()).map(str::to_owned);
    let status = match text("status")? {
        "SERVING" => EndpointStatus::Serving,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => EndpointStatus::Deleted,
        _ => return None,
    };
    // A deleted endpoint may lack its address.
    let is_deleted = status == EndpointStatus::Deleted;
    let address = non_empty("address").or(is_deleted.then(String::new))?;
    let group = value.get("group").map_or(Some(0), Value::as_u64)?;
    let role = text("rank").and_then(replica_status::parse_role);
    Some(Endpoint {
        name: non_empty("name")?,
        address,
        zone: text("zone").unwrap_or_default().to_owned(),
        group: group.try_into().ok()?,
        status,
        weight: value.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        since_ms: value.get("since_ms").and_then(Value::as_u64).unwrap_or(0),
        is_primary: role == Some(true),
    })
}

/// Converts a list from JSON; `None` if it is malformed. Invalid entries are skipped.
pub fn from_value(value: &Value) -> Option<EndpointList> {
    let listed = value.get("endpoints")?.as_array()?;
    let entries: Vec<_> = listed.iter().filter_map(parse_entry).collect();
    let is_complete = value.get("snapshot").and_then(Value::as_bool);
    Some(EndpointList {
        index: value.get("index")?.as_u64()?,
        is_complete: is_complete.unwrap_or(true),
        skipped: listed.len() - entries.len(),
        entries,
    })
}

/// Whether the nesting depth is at most [`MAX_NESTING_DEPTH`]. The JSON parser recurses, its own depth limit
/// exceeds what a coroutine's stack can hold, and a stack overflow terminates the process.
fn is_nesting_bounded(body: &[u8]) -> bool {
    let mut depth = 0usize;
    let mut is_quoted = false;
    let mut is_escaped = false;
    for byte in body {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_quoted => is_escaped = true,
            b'"' => is_quoted = !is_quoted,
            b'[' | b'{' if !is_quoted => depth += 1,
            b']' | b'}' if !is_quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING_DEPTH {
            return false;
        }
    }
    true
}

/// Parses the body of a response; `None` if it is malformed.
pub fn parse(body: &[u8]) -> Option<EndpointList> {
    if !is_nesting_bounded(body) {
        return None;
    }
    from_value(&serde_json::from_slice(body).ok()?)
}

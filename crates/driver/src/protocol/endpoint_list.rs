//! The endpoint list of discovery, in JSON.

use super::replica_status;
use serde_json::Value;

/// State of an endpoint, in discovery's words.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointStatus {
    /// `SERVING`
    Serving,
    /// `DRAINING`
    Draining,
    /// `DELETED`
    Deleted,
}

/// An entry of the list.
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
    /// Its state.
    pub status: EndpointStatus,
    /// Capacity relative to others.
    pub weight: f64,
    /// Unix time of the last start in milliseconds; zero if that was long ago.
    pub since_ms: u64,
    /// The list names it as the primary.
    pub is_primary: bool,
}

/// A version of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Number of the version.
    pub index: u64,
    /// The complete list, not only what changed.
    pub is_complete: bool,
    /// Its readable entries.
    pub entries: Vec<Endpoint>,
    /// Number of entries that could not be read.
    pub skipped: usize,
}

/// Nested levels in a list at most; a valid one has three.
const MOST_LEVELS: usize = 16;

fn parse_entry(value: &Value) -> Option<Endpoint> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let non_empty = |name: &str| text(name).filter(|t| !t.is_empty()).map(str::to_owned);
    let status = match text("status")? {
        "SERVING" => EndpointStatus::Serving,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => EndpointStatus::Deleted,
        _ => return None,
    };
    // A deleted one may come with little more than its name.
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

/// Reads a list from JSON; `None` if its frame can't be read. Unreadable entries are skipped.
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

/// Whether nothing is nested deeper than [`MOST_LEVELS`]. The JSON parser recurses, and a coroutine's stack, whose overflow
/// ends the process, has less space than the parser's own limit would need.
fn is_shallow(body: &[u8]) -> bool {
    let mut level = 0usize;
    let mut is_quoted = false;
    let mut is_escaped = false;
    for byte in body {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_quoted => is_escaped = true,
            b'"' => is_quoted = !is_quoted,
            b'[' | b'{' if !is_quoted => level += 1,
            b']' | b'}' if !is_quoted => level = level.saturating_sub(1),
            _ => {}
        }
        if level > MOST_LEVELS {
            return false;
        }
    }
    true
}

/// Reads a list from the body of an answer; `None` if it can't be read.
pub fn parse(body: &[u8]) -> Option<EndpointList> {
    if !is_shallow(body) {
        return None;
    }
    from_value(&serde_json::from_slice(body).ok()?)
}

//! Discovery's list of members.

use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Serving,
    Draining,
    Deleted,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub group: u32,
    pub status: Status,
    pub weight: f64,
    pub since_ms: u64,
    pub is_primary: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    pub index: u64,
    /// The whole list, not only what changed.
    pub is_complete: bool,
    pub entries: Vec<Endpoint>,
    /// Entries that could not be read.
    pub skipped: usize,
}

fn entry(value: &Value) -> Option<Endpoint> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let given = |name: &str| text(name).filter(|t| !t.is_empty()).map(str::to_owned);
    let status = match text("status")? {
        "SERVING" => Status::Serving,
        "DRAINING" => Status::Draining,
        "DELETED" => Status::Deleted,
        _ => return None,
    };
    // One that is gone may come with little more than its name.
    let address = given("address").or((status == Status::Deleted).then(String::new))?;
    let group = value.get("group").map_or(Some(0), Value::as_u64)?;
    Some(Endpoint {
        name: given("name")?,
        address,
        zone: text("zone").unwrap_or_default().to_owned(),
        group: group.try_into().ok()?,
        status,
        weight: value.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        since_ms: value.get("since_ms").and_then(Value::as_u64).unwrap_or(0),
        is_primary: text("rank").and_then(super::replica_status::role) == Some(true),
    })
}

pub fn from_value(value: &Value) -> Option<EndpointList> {
    let listed = value.get("endpoints")?.as_array()?;
    let entries: Vec<_> = listed.iter().filter_map(entry).collect();
    Some(EndpointList {
        index: value.get("index")?.as_u64()?,
        is_complete: value.get("snapshot").and_then(Value::as_bool).unwrap_or(true),
        skipped: listed.len() - entries.len(),
        entries,
    })
}

/// Levels in a list at most; an honest one has three.
const LEVELS: usize = 16;

/// Whether nothing lies deeper than that. JSON is read level within level, and a coroutine's stack, at whose end
/// the process dies, has no room for as many levels as the reader would allow.
fn is_shallow(body: &[u8]) -> bool {
    let (mut level, mut quoted, mut escaped) = (0usize, false, false);
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => level += 1,
            b']' | b'}' if !quoted => level = level.saturating_sub(1),
            _ => {}
        }
        if level > LEVELS {
            return false;
        }
    }
    true
}

pub fn read(body: &[u8]) -> Option<EndpointList> {
    let shallow = Some(body).filter(|b| is_shallow(b))?;
    from_value(&serde_json::from_slice(shallow).ok()?)
}

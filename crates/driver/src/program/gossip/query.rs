//! Operators' queries of a running service's gossip, as `asterlatch fleet` sends them.

use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

/// Subject of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum QueryKind {
    /// Drivers of the fleet, and counters of this one
    Status,
    /// All shared records that this driver stores
    Facts,
    /// Records that contradict each other
    Differences,
}

impl QueryKind {
    /// Name of the kind at the control socket.
    pub fn name(self) -> &'static str {
        match self {
            QueryKind::Status => "status",
            QueryKind::Facts => "facts",
            QueryKind::Differences => "differences",
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<QueryKind> {
        [QueryKind::Status, QueryKind::Facts, QueryKind::Differences]
            .into_iter()
            .find(|kind| kind.name() == name)
    }
}

/// An operator's query; the answer goes to the socket.
pub struct Query {
    /// Subject of the query.
    pub kind: QueryKind,
    /// Whether the answer is JSON instead of tables.
    pub as_json: bool,
    /// Receives the answer.
    pub reply: UnixStream,
}

/// The service can't be queried.
#[derive(Debug, thiserror::Error)]
#[error("cannot query the service at {}: {source}", path.display())]
pub struct QueryError {
    path: PathBuf,
    source: io::Error,
}

/// Queries a running service at its control socket and prints the answer; returns whether the query
/// succeeded.
///
/// # Errors
/// If the control socket can't be reached or read.
pub fn query_service(control: &Path, kind: QueryKind, as_json: bool) -> Result<bool, QueryError> {
    let failed = |source: io::Error| QueryError {
        path: control.to_owned(),
        source,
    };
    let mut stream = UnixStream::connect(control).map_err(failed)?;
    let format = if as_json { "json" } else { "table" };
    writeln!(stream, "fleet {} {format}", kind.name()).map_err(failed)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(failed)?;
    print!("{text}");
    Ok(!text.is_empty() && !text.starts_with("failed"))
}

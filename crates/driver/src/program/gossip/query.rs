//! What operators may ask of a running service's gossip, and how `asterlatch fleet` asks it.

use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

/// What is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum QueryKind {
    /// Who of the fleet is there, and how this driver stands
    Status,
    /// All that is shared, as this driver holds it
    Facts,
    /// What can't both be true
    Differences,
}

impl QueryKind {
    /// The word for it at the control socket.
    pub fn name(self) -> &'static str {
        match self {
            QueryKind::Status => "status",
            QueryKind::Facts => "facts",
            QueryKind::Differences => "differences",
        }
    }

    /// The kind of this name.
    pub fn named(name: &str) -> Option<QueryKind> {
        [QueryKind::Status, QueryKind::Facts, QueryKind::Differences]
            .into_iter()
            .find(|kind| kind.name() == name)
    }
}

/// An operator's query; the answer goes to the socket.
pub struct Query {
    /// What is asked for.
    pub kind: QueryKind,
    /// As JSON, not as a table.
    pub as_json: bool,
    /// Receives the answer.
    pub reply: UnixStream,
}

/// The control socket could not be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct QueryError {
    path: PathBuf,
    source: io::Error,
}

/// Queries a running service at its control socket and prints the answer; returns whether it had one.
///
/// # Errors
/// If the control socket can't be reached or read.
pub fn query_service(control: &Path, kind: QueryKind, as_json: bool) -> Result<bool, QueryError> {
    let failed = |source: io::Error| QueryError {
        path: control.to_owned(),
        source,
    };
    let mut stream = UnixStream::connect(control).map_err(failed)?;
    let form = if as_json { "json" } else { "table" };
    writeln!(stream, "fleet {} {form}", kind.name()).map_err(failed)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(failed)?;
    print!("{text}");
    Ok(!text.is_empty() && !text.starts_with("failed"))
}

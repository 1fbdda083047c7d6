//! Names and contents of the files of stored generations: which one to start from, which are damaged, which
//! to remove. Does no I/O.
//!
//! A generation is one file, `generation-NUMBER.latch.json`: a header line with its number, and the length
//! and hash of the rest, then the settings in canonical form. The newest intact one is the one to start from.
//! No other file refers to it, so a single rename puts a generation in place.

use crate::resolved::hash;

const PREFIX: &str = "generation-";
const SUFFIX: &str = ".latch.json";
/// Suffix of a file that is being written; one that is found at a start is left from an interrupted write.
pub const TEMPORARY_SUFFIX: &str = ".unfinished";
const MAGIC: &str = "asterlatch generation";

pub fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:020}{SUFFIX}")
}

/// Number of the generation in a file of this name; `None` for other files.
pub fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    (digits.len() == 20).then(|| digits.parse().ok())?
}

pub fn encode(number: u64, canonical: &str) -> String {
    let (length, hash) = (canonical.len(), hash(canonical));
    format!("{MAGIC} {number} {length} {hash}\n{canonical}")
}

/// Why a stored generation is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    NotUtf8,
    InvalidHeader,
    /// Its header has another number than its name.
    NumberMismatch,
    Truncated,
    /// It is longer than its header says.
    TooLong,
    HashMismatch,
}

impl Damage {
    pub fn reason(self) -> &'static str {
        match self {
            Damage::NotUtf8 => "is not UTF-8",
            Damage::InvalidHeader => "doesn't begin as one",
            Damage::NumberMismatch => "has another number in its header than in its name",
            Damage::Truncated => "is truncated",
            Damage::TooLong => "is longer than its header says",
            Damage::HashMismatch => "does not match the hash in its header",
        }
    }
}

/// Canonical text of a stored generation, if it is intact.
pub fn decode(number: u64, bytes: &[u8]) -> Result<&str, Damage> {
    let text = std::str::from_utf8(bytes).map_err(|_| Damage::NotUtf8)?;
    let (header, canonical) = text.split_once('\n').ok_or(Damage::InvalidHeader)?;
    let fields = header.strip_prefix(MAGIC).ok_or(Damage::InvalidHeader)?;
    let mut fields = fields.split(' ').skip(1);
    let mut next_field = || fields.next().ok_or(Damage::InvalidHeader);
    let (header_number, length, header_hash) = (next_field()?, next_field()?, next_field()?);
    let header_number: u64 = header_number.parse().map_err(|_| Damage::InvalidHeader)?;
    let length: usize = length.parse().map_err(|_| Damage::InvalidHeader)?;
    if header_number != number {
        return Err(Damage::NumberMismatch);
    }
    match canonical.len().cmp(&length) {
        std::cmp::Ordering::Less => Err(Damage::Truncated),
        std::cmp::Ordering::Greater => Err(Damage::TooLong),
        std::cmp::Ordering::Equal if hash(canonical) != header_hash => Err(Damage::HashMismatch),
        std::cmp::Ordering::Equal => Ok(canonical),
    }
}

/// Files of a folder: numbers of generations, newest first, and names of interrupted writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FolderFiles {
    pub generations: Vec<u64>,
    pub temporary: Vec<String>,
}

pub fn classify_files(names: impl IntoIterator<Item = String>) -> FolderFiles {
    let mut files = FolderFiles::default();
    for name in names {
        match (
            parse_file_name(&name),
            name.starts_with(PREFIX) && name.ends_with(TEMPORARY_SUFFIX),
        ) {
            (Some(number), _) => files.generations.push(number),
            (None, true) => files.temporary.push(name),
            // Other files stay.
            (None, false) => {}
        }
    }
    files.generations.sort_unstable_by(|a, b| b.cmp(a));
    files.temporary.sort_unstable();
    files
}

/// Generations to remove so that at most `max_generations` intact ones are left, and at least one. A damaged
/// one is removed once a newer intact one exists; until then it may be needed for diagnosis.
pub fn generations_to_remove(newest_first: &[(u64, bool)], max_generations: usize) -> Vec<u64> {
    let mut intact = 0;
    let mut to_remove = Vec::new();
    for (number, is_intact) in newest_first {
        if *is_intact && intact < max_generations.max(1) {
            intact += 1;
        } else if intact > 0 {
            to_remove.push(*number);
        }
    }
    to_remove
}

/// Number of the generation that lies this many changes back, given numbers and hashes. Storing equal
/// settings again is not a change.
pub fn rollback_target(newest_first: &[(u64, String)], steps: usize) -> Option<u64> {
    if steps == 0 {
        return None;
    }
    let mut remaining_steps = steps;
    let mut current = newest_first.first()?.1.as_str();
    for (number, hash) in newest_first {
        if hash != current {
            remaining_steps -= 1;
            current = hash;
        }
        if remaining_steps == 0 {
            return Some(*number);
        }
    }
    None
}

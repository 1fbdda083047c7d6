//! What is kept of former generations, decided from the names and texts of a folder: which to start from, which are
//! damaged, which to let go. Reads and writes nothing itself.
//!
//! A generation is one file, `generation-NUMBER.latch.json`: a first line with its number, the length and the hash of
//! what follows, then the canonical meaning. The newest whole one is the one to start from; no file names it, so no
//! second write can contradict the first.

use crate::resolved::hash;

const PREFIX: &str = "generation-";
const SUFFIX: &str = ".latch.json";
/// What is being written is called so; found at a start, it was never ended.
pub const TEMPORARY_SUFFIX: &str = ".unfinished";
const MAGIC: &str = "asterlatch generation";

pub fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:020}{SUFFIX}")
}

/// The number of a stored generation; nothing for files of any other kind.
pub fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    (digits.len() == 20).then(|| digits.parse().ok())?
}

pub fn encode(number: u64, canonical: &str) -> String {
    let (length, hash) = (canonical.len(), hash(canonical));
    format!("{MAGIC} {number} {length} {hash}\n{canonical}")
}

/// Why a stored generation isn't one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    NotText,
    NoHeader,
    /// The file says another number than its name.
    OtherNumber,
    CutShort,
    /// More lies behind it than belongs to it.
    TooLong,
    OtherHash,
}

impl Damage {
    pub fn reason(self) -> &'static str {
        match self {
            Damage::NotText => "is no text",
            Damage::NoHeader => "doesn't begin as one",
            Damage::OtherNumber => "holds another number than its name",
            Damage::CutShort => "is cut short",
            Damage::TooLong => "holds more than belongs to it",
            Damage::OtherHash => "has another hash than it says",
        }
    }
}

/// The canonical text of a stored generation, if it is whole.
pub fn decode(number: u64, bytes: &[u8]) -> Result<&str, Damage> {
    let text = std::str::from_utf8(bytes).map_err(|_| Damage::NotText)?;
    let (head, canonical) = text.split_once('\n').ok_or(Damage::NoHeader)?;
    let fields = head.strip_prefix(MAGIC).ok_or(Damage::NoHeader)?;
    let mut fields = fields.split(' ').skip(1);
    let mut next = || fields.next().ok_or(Damage::NoHeader);
    let (told, length, told_hash) = (next()?, next()?, next()?);
    let told: u64 = told.parse().map_err(|_| Damage::NoHeader)?;
    let length: usize = length.parse().map_err(|_| Damage::NoHeader)?;
    if told != number {
        return Err(Damage::OtherNumber);
    }
    match canonical.len().cmp(&length) {
        std::cmp::Ordering::Less => Err(Damage::CutShort),
        std::cmp::Ordering::Greater => Err(Damage::TooLong),
        std::cmp::Ordering::Equal if hash(canonical) != told_hash => Err(Damage::OtherHash),
        std::cmp::Ordering::Equal => Ok(canonical),
    }
}

/// What of a folder is what, newest first.
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
            // Not ours, so it stays.
            (None, false) => {}
        }
    }
    files.generations.sort_unstable_by(|a, b| b.cmp(a));
    files.temporary.sort_unstable();
    files
}

/// The generations to let go once there are so many whole ones: the oldest, never the newest whole one. Damaged ones
/// go as soon as a whole one is newer: until then they are all that tells what happened.
pub fn generations_to_remove(newest_first: &[(u64, bool)], max_generations: usize) -> Vec<u64> {
    let mut whole = 0;
    let mut gone = Vec::new();
    for (number, is_whole) in newest_first {
        if *is_whole && whole < max_generations.max(1) {
            whole += 1;
        } else if whole > 0 {
            gone.push(*number);
        }
    }
    gone
}

/// The generation that a rollback by so many steps goes to. A step is a stored meaning that differs from the one
/// before: storing the same again is no step.
pub fn rollback_target(newest_first: &[(u64, String)], steps: usize) -> Option<u64> {
    if steps == 0 {
        return None;
    }
    let mut left = steps;
    let mut current = newest_first.first()?.1.as_str();
    for (number, hash) in newest_first {
        if hash != current {
            left -= 1;
            current = hash;
        }
        if left == 0 {
            return Some(*number);
        }
    }
    None
}

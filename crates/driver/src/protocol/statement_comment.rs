//! The comment at the head of a statement, which carries what routing needs to know.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::ops::Range;

/// The fields that decisions need; the statement itself stays the bytes that came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Marked {
    /// The same for the same id.
    pub id: u64,
    pub workload: String,
    pub group: u32,
    pub left_ms: u64,
    pub repeat: bool,
    /// The position that a read must see.
    pub after: Option<u64>,
    /// The first quoted literal behind the comment.
    pub key: Option<String>,
    /// Where the digits of the time left stand.
    pub left_at: Range<usize>,
}

/// What a client is told of a statement that can't be routed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unreadable {
    pub code: &'static str,
    pub message: &'static str,
}

const fn unreadable(code: &'static str, message: &'static str) -> Unreadable {
    Unreadable { code, message }
}

pub const NO_COMMENT: Unreadable = unreadable(
    "42601",
    "the statement doesn't begin with a comment of its fields",
);
pub const BAD_FIELD: Unreadable = unreadable("22023", "a field of the statement's comment can't be read");
pub const NO_FIELD: Unreadable = unreadable(
    "22023",
    "the comment lacks one of the fields id, c, d and cluster",
);
pub const NO_GROUP: Unreadable = unreadable("22023", "no member of this group is known");
pub const NO_WORKLOAD: Unreadable = unreadable("22023", "no such workload");
pub const SAME_ID: Unreadable = unreadable("22023", "another statement with this id is open");
pub const NO_ROOM: Unreadable = unreadable("53300", "no memory is left for the statement");
pub const TOO_LARGE: Unreadable = unreadable("54000", "the statement or its value is too large");

/// The same number for the same text, in each run.
pub fn hashed(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// The first quoted literal, with doubled quotes made one; all of them must end.
fn literal(text: &str) -> Result<Option<String>, Unreadable> {
    let (mut first, mut rest) = (None, text);
    while let Some(start) = rest.find('\'') {
        let mut literal = String::new();
        rest = &rest[start + 1..];
        loop {
            let end = rest
                .find('\'')
                .ok_or(unreadable("42601", "a quoted literal doesn't end"))?;
            if first.is_none() {
                literal.push_str(&rest[..end]);
            }
            rest = &rest[end + 1..];
            match rest.strip_prefix('\'') {
                Some(after) => rest = after,
                None => break,
            }
            literal.push('\'');
        }
        first.get_or_insert(literal);
    }
    Ok(first)
}

pub fn read(text: &str) -> Result<Marked, Unreadable> {
    let start = text.len() - text.trim_start().len();
    let inner = text[start..].strip_prefix("/*").ok_or(NO_COMMENT)?;
    let end = inner.find("*/").ok_or(NO_COMMENT)?;
    let (mut marked, mut seen) = (Marked::default(), [false; 4]);
    let mut at = start + 2;
    for part in inner[..end].split(',') {
        let field = part.trim();
        let (name, value) = field.split_once('=').unwrap_or((field, ""));
        let (name, value) = (name.trim_end(), value.trim_start());
        let number = || value.parse::<u64>().map_err(|_| BAD_FIELD);
        match name {
            "id" => {
                marked.id = hashed(value);
                seen[0] = !value.is_empty();
            }
            "c" => {
                marked.workload = value.to_owned();
                seen[1] = true;
            }
            "d" => {
                marked.left_ms = number()?;
                let from = at + part.trim_end().len() - value.len();
                marked.left_at = from..from + value.len();
                seen[2] = true;
            }
            "cluster" => {
                marked.group = number()?.try_into().map_err(|_| BAD_FIELD)?;
                seen[3] = true;
            }
            "r" => marked.repeat = value == "1",
            "after" => marked.after = Some(number()?),
            _ => {}
        }
        at += part.len() + 1;
    }
    if seen.contains(&false) {
        return Err(NO_FIELD);
    }
    marked.key = literal(&inner[end + 2..])?;
    Ok(marked)
}

/// The statement as it came but for the time left.
pub fn with_left(text: &[u8], left_at: &Range<usize>, left_ms: u64) -> Vec<u8> {
    let left = left_ms.to_string();
    [&text[..left_at.start], left.as_bytes(), &text[left_at.end..]].concat()
}

//! The one form of a file. Works on brackets and lines rather than on the tree, so that nothing a file holds can be
//! lost: every word stays in its place, but for commas at the ends of broken lists.

use crate::lex::{tokens, Token};

const WIDEST: usize = 100;
const INDENT: usize = 4;

/// A piece of a line: a word, a comment, or a bracket with all in it.
#[derive(Debug)]
enum Piece<'a> {
    Word(Token, &'a str),
    /// Text and whether it stands on a line of its own.
    Comment(&'a str, bool),
    /// An empty line within brackets.
    Gap,
    Group(Token, Vec<Piece<'a>>),
}

struct Line<'a> {
    indented: bool,
    pieces: Vec<Piece<'a>>,
    /// Empty lines stand before it.
    gap: bool,
}

/// The text in its form. It must be well formed.
pub fn format(text: &str) -> String {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let lines = lines(text);
    let mut out = String::new();
    for (n, line) in lines.iter().enumerate() {
        let next_def = matches!(line.pieces.first(), Some(Piece::Word(Token::Def, _)));
        let after_body = n > 0 && lines[n - 1].indented && !line.indented;
        if !out.is_empty()
            && (line.gap || next_def && !is_comment(lines.get(n.wrapping_sub(1))) || after_body)
        {
            out.push('\n');
        }
        let indent = if line.indented { INDENT } else { 0 };
        out.push_str(&" ".repeat(indent));
        put_all(&mut out, &line.pieces, indent);
        while out.ends_with(' ') {
            out.pop();
        }
        out.push('\n');
    }
    out
}

fn is_comment(line: Option<&Line>) -> bool {
    line.is_some_and(|l| matches!(l.pieces.as_slice(), [Piece::Comment(..)]))
}

fn lines(text: &str) -> Vec<Line<'_>> {
    let mut lines: Vec<Line> = Vec::new();
    let mut all = tokens(text)
        .into_iter()
        .map(|(token, at)| (token, &text[at]))
        .peekable();
    let mut gap = false;
    while all.peek().is_some() {
        let mut indented = false;
        let mut pieces: Vec<Piece> = Vec::new();
        for (token, slice) in all.by_ref() {
            match token {
                Token::Newline => break,
                Token::Space => indented |= pieces.is_empty(),
                Token::Comment => pieces.push(Piece::Comment(slice.trim_end(), pieces.is_empty())),
                token => {
                    pieces.push(Piece::Word(token, slice));
                    if token.opens() {
                        break;
                    }
                }
            }
        }
        // A bracket takes lines in until it is closed.
        while let Some(Piece::Word(token, _)) = pieces.last() {
            if !token.opens() {
                break;
            }
            let open = *token;
            pieces.pop();
            pieces.push(group(open, &mut all));
            for (token, slice) in all.by_ref() {
                match token {
                    Token::Newline => break,
                    Token::Space => {}
                    Token::Comment => pieces.push(Piece::Comment(slice.trim_end(), false)),
                    token => {
                        pieces.push(Piece::Word(token, slice));
                        if token.opens() {
                            break;
                        }
                    }
                }
            }
        }
        if pieces.is_empty() {
            gap = true;
            continue;
        }
        lines.push(Line {
            indented,
            pieces,
            gap,
        });
        gap = false;
    }
    settle_comments(&mut lines);
    lines
}

/// Comments on lines of their own stand as deep as the statement behind them, if that is of the same body.
fn settle_comments(lines: &mut [Line]) {
    let mut body = false;
    for line in lines.iter_mut().rev() {
        if is_comment(Some(line)) {
            line.indented &= body;
        } else {
            body = line.indented;
        }
    }
}

type Words<'a, I> = std::iter::Peekable<I>;

fn group<'a, I: Iterator<Item = (Token, &'a str)>>(open: Token, all: &mut Words<'a, I>) -> Piece<'a> {
    let mut pieces = Vec::new();
    let mut newlines = 0;
    while let Some((token, slice)) = all.next() {
        if token != Token::Newline && token != Token::Space {
            // Only between items: within one an empty line parts nothing.
            let between = matches!(
                pieces.last(),
                Some(Piece::Word(Token::Comma, _) | Piece::Comment(..))
            );
            if newlines > 1 && between && !token.closes() {
                pieces.push(Piece::Gap);
            }
        }
        match token {
            Token::Space => continue,
            Token::Newline => {
                newlines += 1;
                continue;
            }
            Token::Comment => pieces.push(Piece::Comment(slice.trim_end(), newlines > 0)),
            token if token.closes() => break,
            token if token.opens() => pieces.push(group(token, all)),
            token => pieces.push(Piece::Word(token, slice)),
        }
        newlines = 0;
    }
    Piece::Group(open, pieces)
}

fn brackets(open: Token) -> (char, char) {
    match open {
        Token::OpenList => ('[', ']'),
        Token::OpenDict => ('{', '}'),
        _ => ('(', ')'),
    }
}

/// Whether a space stands between two pieces on one line.
fn spaced(before: &[Piece], next: &Piece) -> bool {
    let Some(last) = before.last() else {
        return false;
    };
    match (last, next) {
        (_, Piece::Word(Token::Comma | Token::Colon, _)) => false,
        (Piece::Word(Token::Spread, _), _) => false,
        (Piece::Word(Token::Minus, _), _) if is_sign(before) => false,
        (_, Piece::Group(Token::OpenDict, _)) => true,
        // Behind a value a bracket calls or asks it; behind anything else it begins one.
        (
            Piece::Word(
                Token::Name
                | Token::Load
                | Token::Text
                | Token::Number
                | Token::True
                | Token::False
                | Token::None,
                _,
            )
            | Piece::Group(..),
            Piece::Group(..),
        ) => false,
        _ => true,
    }
}

/// Whether the minus at the end has nothing to take from.
fn is_sign(before: &[Piece]) -> bool {
    match before.len().checked_sub(2).map(|n| &before[n]) {
        None => true,
        Some(Piece::Group(..)) => false,
        Some(Piece::Word(token, _)) => !matches!(
            token,
            Token::Name | Token::Text | Token::Number | Token::True | Token::False | Token::None
        ),
        Some(Piece::Comment(..) | Piece::Gap) => true,
    }
}

fn must_break(pieces: &[Piece]) -> bool {
    pieces.iter().any(|p| match p {
        Piece::Comment(..) => true,
        Piece::Group(_, inner) => must_break(inner),
        _ => false,
    })
}

/// How wide the pieces are on one line.
fn width(pieces: &[Piece]) -> usize {
    let mut wide = 0;
    for (n, piece) in pieces.iter().enumerate() {
        if is_last_comma(pieces, n) {
            continue;
        }
        wide += usize::from(spaced(&pieces[..n], piece));
        wide += match piece {
            Piece::Word(_, slice) | Piece::Comment(slice, _) => slice.chars().count(),
            Piece::Group(_, inner) => 2 + width(inner),
            Piece::Gap => 0,
        };
        if wide > WIDEST * 2 {
            return wide;
        }
    }
    wide
}

fn is_last_comma(pieces: &[Piece], n: usize) -> bool {
    let rest = &pieces[n..];
    matches!(rest.first(), Some(Piece::Word(Token::Comma, _)))
        && rest[1..].iter().all(|p| matches!(p, Piece::Gap))
}

/// Writes the pieces of a line, which begins at this indent; brackets are broken from the outside in, as needed.
fn put_all(out: &mut String, pieces: &[Piece], indent: usize) {
    let line_start = out.rfind('\n').map_or(0, |n| n + 1);
    for (n, piece) in pieces.iter().enumerate() {
        if spaced(&pieces[..n], piece) {
            out.push(' ');
        }
        match piece {
            Piece::Gap => {}
            Piece::Word(_, slice) => out.push_str(slice),
            Piece::Comment(slice, _) => {
                if !out.ends_with('\n') && !out.ends_with(' ') && out.len() > line_start {
                    out.push(' ');
                }
                if n > 0 {
                    out.push(' ');
                }
                out.push_str(slice);
            }
            Piece::Group(open, inner) => {
                let from = out.rfind('\n').map_or(0, |n| n + 1);
                let so_far = out[from..].chars().count();
                let behind = pieces[n + 1..]
                    .iter()
                    .take_while(|p| !matches!(p, Piece::Group(..) | Piece::Comment(..)));
                let behind: usize = behind
                    .map(|p| match p {
                        Piece::Word(_, s) => s.chars().count() + 1,
                        _ => 0,
                    })
                    .sum();
                let whole = so_far + width(inner) + 2 + behind.min(20);
                if must_break(inner) || (whole > WIDEST && !inner.is_empty()) {
                    put_broken(out, *open, inner, indent);
                } else {
                    put_flat(out, *open, inner);
                }
            }
        }
    }
}

fn put_flat(out: &mut String, open: Token, pieces: &[Piece]) {
    let (start, end) = brackets(open);
    out.push(start);
    for (n, piece) in pieces.iter().enumerate() {
        if is_last_comma(pieces, n) {
            break;
        }
        if matches!(piece, Piece::Gap) {
            continue;
        }
        if spaced(&pieces[..n], piece) {
            out.push(' ');
        }
        match piece {
            Piece::Word(_, slice) => out.push_str(slice),
            Piece::Group(open, inner) => put_flat(out, *open, inner),
            Piece::Comment(..) | Piece::Gap => {}
        }
    }
    out.push(end);
}

/// One item a line. Items end at commas; comprehensions break before each clause and take no comma at the end.
fn put_broken(out: &mut String, open: Token, pieces: &[Piece], indent: usize) {
    let (start, end) = brackets(open);
    let comprehends = pieces.iter().any(|p| matches!(p, Piece::Word(Token::For, _)));
    // Right behind a value a bracket calls or asks it; only calls and lists may end in a comma.
    let behind = |c: char| c.is_alphanumeric() || "_)]}\"%".contains(c);
    let takes_comma = match open {
        _ if comprehends => false,
        Token::Open => out.ends_with(behind),
        Token::OpenList => !out.ends_with(behind),
        _ => true,
    };
    let inner = indent + INDENT;
    let pad = " ".repeat(inner);
    out.push(start);
    // Pieces of the item that is not written yet.
    let mut item = 0;
    let mut at = 0;
    while at < pieces.len() {
        let piece = &pieces[at];
        match piece {
            Piece::Gap => {
                if item == 0 {
                    out.push('\n');
                }
            }
            Piece::Comment(slice, own_line) => {
                let behind = !own_line && !out.ends_with('\n');
                if item == 0 && behind {
                    out.push_str("  ");
                    out.push_str(slice);
                } else if item == 0 {
                    out.push('\n');
                    out.push_str(&pad);
                    out.push_str(slice);
                } else {
                    // In the middle of an item: what was begun stands first, the rest on the next line.
                    put_item(out, item, pieces, at, &pad, inner);
                    item = 0;
                    if takes_comma
                        && pieces[at..]
                            .iter()
                            .all(|p| matches!(p, Piece::Comment(..) | Piece::Gap))
                    {
                        out.push(',');
                    }
                    if *own_line {
                        out.push('\n');
                        out.push_str(&pad);
                    } else {
                        out.push_str("  ");
                    }
                    out.push_str(slice);
                }
            }
            Piece::Word(Token::Comma, _) if !comprehends => {
                if item == 0 {
                    // Its item went out before a comment; the comma has a line of its own.
                    out.push('\n');
                    out.push_str(&pad);
                } else {
                    put_item(out, item, pieces, at, &pad, inner);
                    item = 0;
                }
                out.push(',');
            }
            Piece::Word(Token::For | Token::If, _) if comprehends && item > 0 && clause_at(pieces, at) => {
                put_item(out, item, pieces, at, &pad, inner);
                item = 1;
            }
            _ => item += 1,
        }
        at += 1;
    }
    if item > 0 {
        put_item(out, item, pieces, at, &pad, inner);
        if takes_comma {
            out.push(',');
        }
    }
    out.push('\n');
    out.push_str(&" ".repeat(indent));
    out.push(end);
}

/// Whether an 'if' begins a clause: behind the first 'for' every one does, before it none.
fn clause_at(pieces: &[Piece], at: usize) -> bool {
    match pieces[at] {
        Piece::Word(Token::For, _) => true,
        _ => pieces[..at]
            .iter()
            .any(|p| matches!(p, Piece::Word(Token::For, _))),
    }
}

/// Writes one item, the pieces before `end`, on a line of its own.
fn put_item(out: &mut String, count: usize, pieces: &[Piece], end: usize, pad: &str, indent: usize) {
    out.push('\n');
    out.push_str(pad);
    put_all(out, &pieces[end - count..end], indent);
}

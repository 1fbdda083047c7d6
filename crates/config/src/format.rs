//! Formatter. Works on the tokens of lines and brackets rather than on the syntax tree, so that nothing can
//! be lost: all tokens keep their order, and only trailing commas are added or removed.

use crate::lex::{tokens, Token};

const MAX_WIDTH: usize = 100;
const INDENT_WIDTH: usize = 4;

/// A piece of a line: a token, a comment, or a bracket with its content.
#[derive(Debug)]
enum Piece<'a> {
    Token(Token, &'a str),
    /// Its text, and whether it is on a line of its own.
    Comment(&'a str, bool),
    /// An empty line within brackets.
    BlankLine,
    Group(Token, Vec<Piece<'a>>),
}

struct Line<'a> {
    is_indented: bool,
    pieces: Vec<Piece<'a>>,
    follows_blank_line: bool,
}

/// Formats a text, which must be free of syntax errors.
pub fn format(text: &str) -> String {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let lines = parse_lines(text);
    let mut out = String::new();
    for (n, line) in lines.iter().enumerate() {
        let begins_def = matches!(line.pieces.first(), Some(Piece::Token(Token::Def, _)));
        let after_body = n > 0 && lines[n - 1].is_indented && !line.is_indented;
        if !out.is_empty()
            && (line.follows_blank_line
                || begins_def && !is_comment(lines.get(n.wrapping_sub(1)))
                || after_body)
        {
            out.push('\n');
        }
        let indent = if line.is_indented { INDENT_WIDTH } else { 0 };
        out.push_str(&" ".repeat(indent));
        write_pieces(&mut out, &line.pieces, indent);
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

fn parse_lines(text: &str) -> Vec<Line<'_>> {
    let mut lines: Vec<Line> = Vec::new();
    let mut all = tokens(text)
        .into_iter()
        .map(|(token, range)| (token, &text[range]))
        .peekable();
    let mut follows_blank_line = false;
    while all.peek().is_some() {
        let mut is_indented = false;
        let mut pieces: Vec<Piece> = Vec::new();
        for (token, slice) in all.by_ref() {
            match token {
                Token::Newline => break,
                Token::Space => is_indented |= pieces.is_empty(),
                Token::Comment => pieces.push(Piece::Comment(slice.trim_end(), pieces.is_empty())),
                token => {
                    pieces.push(Piece::Token(token, slice));
                    if token.opens() {
                        break;
                    }
                }
            }
        }
        // A bracket may span lines.
        while let Some(Piece::Token(token, _)) = pieces.last() {
            if !token.opens() {
                break;
            }
            let open = *token;
            pieces.pop();
            pieces.push(parse_group(open, &mut all));
            for (token, slice) in all.by_ref() {
                match token {
                    Token::Newline => break,
                    Token::Space => {}
                    Token::Comment => pieces.push(Piece::Comment(slice.trim_end(), false)),
                    token => {
                        pieces.push(Piece::Token(token, slice));
                        if token.opens() {
                            break;
                        }
                    }
                }
            }
        }
        if pieces.is_empty() {
            follows_blank_line = true;
            continue;
        }
        lines.push(Line {
            is_indented,
            pieces,
            follows_blank_line,
        });
        follows_blank_line = false;
    }
    align_comments(&mut lines);
    lines
}

/// Indents comments on lines of their own like the statement that follows in the same function body.
fn align_comments(lines: &mut [Line]) {
    let mut is_in_body = false;
    for line in lines.iter_mut().rev() {
        if is_comment(Some(line)) {
            line.is_indented &= is_in_body;
        } else {
            is_in_body = line.is_indented;
        }
    }
}

type Tokens<'a, I> = std::iter::Peekable<I>;

fn parse_group<'a, I: Iterator<Item = (Token, &'a str)>>(open: Token, all: &mut Tokens<'a, I>) -> Piece<'a> {
    let mut pieces = Vec::new();
    let mut newline_count = 0;
    while let Some((token, slice)) = all.next() {
        if token != Token::Newline && token != Token::Space {
            // Blank lines are kept only between items.
            let is_between_items = matches!(
                pieces.last(),
                Some(Piece::Token(Token::Comma, _) | Piece::Comment(..))
            );
            if newline_count > 1 && is_between_items && !token.closes() {
                pieces.push(Piece::BlankLine);
            }
        }
        match token {
            Token::Space => continue,
            Token::Newline => {
                newline_count += 1;
                continue;
            }
            Token::Comment => pieces.push(Piece::Comment(slice.trim_end(), newline_count > 0)),
            token if token.closes() => break,
            token if token.opens() => pieces.push(parse_group(token, all)),
            token => pieces.push(Piece::Token(token, slice)),
        }
        newline_count = 0;
    }
    Piece::Group(open, pieces)
}

fn brackets(open: Token) -> (char, char) {
    match open {
        Token::OpenBracket => ('[', ']'),
        Token::OpenBrace => ('{', '}'),
        _ => ('(', ')'),
    }
}

/// Whether a space separates a piece from those before it on a line.
fn needs_space(before: &[Piece], next: &Piece) -> bool {
    let Some(last) = before.last() else {
        return false;
    };
    match (last, next) {
        (_, Piece::Token(Token::Comma | Token::Colon, _)) => false,
        (Piece::Token(Token::DoubleStar, _), _) => false,
        (Piece::Token(Token::Minus, _), _) if is_unary_minus(before) => false,
        (_, Piece::Group(Token::OpenBrace, _)) => true,
        // After a value, a bracket is a call or an index.
        (
            Piece::Token(
                Token::Name
                | Token::Load
                | Token::String
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

/// Whether the minus at the end of the pieces has no left operand.
fn is_unary_minus(before: &[Piece]) -> bool {
    match before.len().checked_sub(2).map(|n| &before[n]) {
        None => true,
        Some(Piece::Group(..)) => false,
        Some(Piece::Token(token, _)) => !matches!(
            token,
            Token::Name | Token::String | Token::Number | Token::True | Token::False | Token::None
        ),
        Some(Piece::Comment(..) | Piece::BlankLine) => true,
    }
}

fn must_break(pieces: &[Piece]) -> bool {
    pieces.iter().any(|p| match p {
        Piece::Comment(..) => true,
        Piece::Group(_, inner) => must_break(inner),
        _ => false,
    })
}

/// Width of the pieces on one line, in characters; stops counting far above the maximum.
fn width(pieces: &[Piece]) -> usize {
    let mut total = 0;
    for (n, piece) in pieces.iter().enumerate() {
        if is_last_comma(pieces, n) {
            continue;
        }
        total += usize::from(needs_space(&pieces[..n], piece));
        total += match piece {
            Piece::Token(_, slice) | Piece::Comment(slice, _) => slice.chars().count(),
            Piece::Group(_, inner) => 2 + width(inner),
            Piece::BlankLine => 0,
        };
        if total > MAX_WIDTH * 2 {
            return total;
        }
    }
    total
}

fn is_last_comma(pieces: &[Piece], n: usize) -> bool {
    let rest = &pieces[n..];
    matches!(rest.first(), Some(Piece::Token(Token::Comma, _)))
        && rest[1..].iter().all(|p| matches!(p, Piece::BlankLine))
}

/// Writes the pieces of a line with this indentation. Breaks brackets that are too wide, the outer ones
/// first.
fn write_pieces(out: &mut String, pieces: &[Piece], indent: usize) {
    let line_start = out.rfind('\n').map_or(0, |n| n + 1);
    for (n, piece) in pieces.iter().enumerate() {
        if needs_space(&pieces[..n], piece) {
            out.push(' ');
        }
        match piece {
            Piece::BlankLine => {}
            Piece::Token(_, slice) => out.push_str(slice),
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
                let current_line_start = out.rfind('\n').map_or(0, |n| n + 1);
                let current_width = out[current_line_start..].chars().count();
                let following = pieces[n + 1..]
                    .iter()
                    .take_while(|p| !matches!(p, Piece::Group(..) | Piece::Comment(..)));
                let following: usize = following
                    .map(|p| match p {
                        Piece::Token(_, s) => s.chars().count() + 1,
                        _ => 0,
                    })
                    .sum();
                let line_width = current_width + width(inner) + 2 + following.min(20);
                if must_break(inner) || (line_width > MAX_WIDTH && !inner.is_empty()) {
                    write_broken(out, *open, inner, indent);
                } else {
                    write_flat(out, *open, inner);
                }
            }
        }
    }
}

fn write_flat(out: &mut String, open: Token, pieces: &[Piece]) {
    let (start, end) = brackets(open);
    out.push(start);
    for (n, piece) in pieces.iter().enumerate() {
        if is_last_comma(pieces, n) {
            break;
        }
        if matches!(piece, Piece::BlankLine) {
            continue;
        }
        if needs_space(&pieces[..n], piece) {
            out.push(' ');
        }
        match piece {
            Piece::Token(_, slice) => out.push_str(slice),
            Piece::Group(open, inner) => write_flat(out, *open, inner),
            Piece::Comment(..) | Piece::BlankLine => {}
        }
    }
    out.push(end);
}

/// Writes one item per line. Comprehensions break before each clause, and get no trailing comma.
fn write_broken(out: &mut String, open: Token, pieces: &[Piece], indent: usize) {
    let (start, end) = brackets(open);
    let is_comprehension = pieces.iter().any(|p| matches!(p, Piece::Token(Token::For, _)));
    // After a value, a bracket is a call or an index; calls and lists allow a trailing comma.
    let ends_value = |c: char| c.is_alphanumeric() || "_)]}\"%".contains(c);
    let allows_trailing_comma = match open {
        _ if is_comprehension => false,
        Token::OpenParen => out.ends_with(ends_value),
        Token::OpenBracket => !out.ends_with(ends_value),
        _ => true,
    };
    let inner = indent + INDENT_WIDTH;
    let padding = " ".repeat(inner);
    out.push(start);
    // Number of pieces of the current item, which is not written yet.
    let mut item_pieces = 0;
    let mut index = 0;
    while index < pieces.len() {
        let piece = &pieces[index];
        match piece {
            Piece::BlankLine => {
                if item_pieces == 0 {
                    out.push('\n');
                }
            }
            Piece::Comment(slice, is_own_line) => {
                let is_trailing = !is_own_line && !out.ends_with('\n');
                if item_pieces == 0 && is_trailing {
                    out.push_str("  ");
                    out.push_str(slice);
                } else if item_pieces == 0 {
                    out.push('\n');
                    out.push_str(&padding);
                    out.push_str(slice);
                } else {
                    // A comment within an item: the item's first part goes before it, the rest on the next
                    // line.
                    write_item(out, item_pieces, pieces, index, &padding, inner);
                    item_pieces = 0;
                    if allows_trailing_comma
                        && pieces[index..]
                            .iter()
                            .all(|p| matches!(p, Piece::Comment(..) | Piece::BlankLine))
                    {
                        out.push(',');
                    }
                    if *is_own_line {
                        out.push('\n');
                        out.push_str(&padding);
                    } else {
                        out.push_str("  ");
                    }
                    out.push_str(slice);
                }
            }
            Piece::Token(Token::Comma, _) if !is_comprehension => {
                if item_pieces == 0 {
                    // The item was written before a comment, so the comma gets a line of its own.
                    out.push('\n');
                    out.push_str(&padding);
                } else {
                    write_item(out, item_pieces, pieces, index, &padding, inner);
                    item_pieces = 0;
                }
                out.push(',');
            }
            Piece::Token(Token::For | Token::If, _)
                if is_comprehension && item_pieces > 0 && begins_clause(pieces, index) =>
            {
                write_item(out, item_pieces, pieces, index, &padding, inner);
                item_pieces = 1;
            }
            _ => item_pieces += 1,
        }
        index += 1;
    }
    if item_pieces > 0 {
        write_item(out, item_pieces, pieces, index, &padding, inner);
        if allows_trailing_comma {
            out.push(',');
        }
    }
    out.push('\n');
    out.push_str(&" ".repeat(indent));
    out.push(end);
}

/// Whether a 'for' or 'if' begins a clause: an 'if' does after the first 'for'.
fn begins_clause(pieces: &[Piece], index: usize) -> bool {
    match pieces[index] {
        Piece::Token(Token::For, _) => true,
        _ => pieces[..index]
            .iter()
            .any(|p| matches!(p, Piece::Token(Token::For, _))),
    }
}

/// Writes an item, the last `count` pieces before `end`, on a line of its own.
fn write_item(out: &mut String, count: usize, pieces: &[Piece], end: usize, padding: &str, indent: usize) {
    out.push('\n');
    out.push_str(padding);
    write_pieces(out, &pieces[end - count..end], indent);
}

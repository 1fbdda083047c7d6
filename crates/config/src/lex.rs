//! Lexer. Spaces, comments and line ends are tokens too, so that the formatter loses nothing.

use logos::Logos;
use std::ops::Range;

#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
#[rustfmt::skip]
pub enum Token {
    #[regex(r"[ \t]+")] Space,
    #[regex(r"#[^\r\n]*", allow_greedy = true)] Comment,
    #[regex(r"\r?\n")] Newline,
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*")] Name,
    #[regex(r"[0-9]+(\.[0-9]+)?(%|/[A-Za-z]+|[A-Za-z_][A-Za-z0-9_]*)?")] Number,
    #[regex(r#""([^"\\\r\n]|\\[^\r\n])*""#)] String,
    /// A string that isn't closed on its line.
    #[regex(r#""([^"\\\r\n]|\\[^\r\n])*\\?"#)] UnterminatedString,
    #[token("load")] Load, #[token("def")] Def, #[token("return")] Return,
    #[token("if")] If, #[token("else")] Else, #[token("for")] For, #[token("in")] In,
    #[token("and")] And, #[token("or")] Or, #[token("not")] Not,
    #[token("True")] True, #[token("False")] False, #[token("None")] None,
    #[token("(")] OpenParen, #[token(")")] CloseParen, #[token("[")] OpenBracket, #[token("]")] CloseBracket,
    #[token("{")] OpenBrace, #[token("}")] CloseBrace,
    #[token(",")] Comma, #[token(":")] Colon, #[token("=")] Assign,
    #[token("==")] Equal, #[token("!=")] NotEqual, #[token("<")] Less, #[token("<=")] LessEqual,
    #[token(">")] Greater, #[token(">=")] GreaterEqual,
    #[token("+")] Plus, #[token("-")] Minus, #[token("*")] Star, #[token("**")] DoubleStar,
    #[token("//")] DoubleSlash, #[token("%")] Percent,
    /// A run of characters that belong to no other token.
    Unknown,
    End,
}

impl Token {
    pub fn is_blank(self) -> bool {
        matches!(self, Token::Space | Token::Comment | Token::Newline)
    }

    pub fn opens(self) -> bool {
        matches!(self, Token::OpenParen | Token::OpenBracket | Token::OpenBrace)
    }

    pub fn closes(self) -> bool {
        matches!(self, Token::CloseParen | Token::CloseBracket | Token::CloseBrace)
    }

    /// Name in diagnostics.
    #[rustfmt::skip]
    pub fn name(self) -> &'static str {
        use Token::*;
        match self {
            Space => "a space", Comment => "a comment", Newline => "the end of the line", Name => "a name",
            Number => "a number", String => "a string", UnterminatedString => "an unterminated string",
            Load => "'load'", Def => "'def'", Return => "'return'", If => "'if'", Else => "'else'",
            For => "'for'", In => "'in'", And => "'and'", Or => "'or'", Not => "'not'", True => "'True'",
            False => "'False'", None => "'None'", OpenParen => "'('", CloseParen => "')'",
            OpenBracket => "'['", CloseBracket => "']'", OpenBrace => "'{'", CloseBrace => "'}'",
            Comma => "','", Colon => "':'", Assign => "'='", Equal => "'=='", NotEqual => "'!='",
            Less => "'<'", LessEqual => "'<='", Greater => "'>'", GreaterEqual => "'>='", Plus => "'+'",
            Minus => "'-'", Star => "'*'", DoubleStar => "'**'", DoubleSlash => "'//'", Percent => "'%'",
            Unknown => "an unknown character", End => "the end of the file",
        }
    }
}

/// All tokens; their slices concatenated are the text.
pub fn tokens(text: &str) -> Vec<(Token, Range<usize>)> {
    let mut all: Vec<(Token, Range<usize>)> = Vec::new();
    for (token, at) in Token::lexer(text).spanned() {
        match (token, all.last_mut()) {
            (Err(()), Some((Token::Unknown, last))) if last.end == at.start => last.end = at.end,
            (Err(()), _) => all.push((Token::Unknown, at)),
            (Ok(token), _) => all.push((token, at)),
        }
    }
    all
}

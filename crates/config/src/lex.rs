//! Tokens. Spaces, comments and ends of lines are tokens too, so that the formatter loses nothing.

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
    #[regex(r#""([^"\\\r\n]|\\[^\r\n])*""#)] Text,
    /// A text whose line ends before it does.
    #[regex(r#""([^"\\\r\n]|\\[^\r\n])*\\?"#)] OpenText,
    #[token("load")] Load, #[token("def")] Def, #[token("return")] Return,
    #[token("if")] If, #[token("else")] Else, #[token("for")] For, #[token("in")] In,
    #[token("and")] And, #[token("or")] Or, #[token("not")] Not,
    #[token("True")] True, #[token("False")] False, #[token("None")] None,
    #[token("(")] Open, #[token(")")] Close, #[token("[")] OpenList, #[token("]")] CloseList,
    #[token("{")] OpenDict, #[token("}")] CloseDict,
    #[token(",")] Comma, #[token(":")] Colon, #[token("=")] Is,
    #[token("==")] Equal, #[token("!=")] Unequal, #[token("<")] Less, #[token("<=")] LessEqual,
    #[token(">")] Greater, #[token(">=")] GreaterEqual,
    #[token("+")] Plus, #[token("-")] Minus, #[token("*")] Times, #[token("**")] Spread,
    #[token("//")] Over, #[token("%")] Rest,
    /// What belongs to no token; runs of it are one.
    Unknown,
    End,
}

impl Token {
    pub fn is_blank(self) -> bool {
        matches!(self, Token::Space | Token::Comment | Token::Newline)
    }

    pub fn opens(self) -> bool {
        matches!(self, Token::Open | Token::OpenList | Token::OpenDict)
    }

    pub fn closes(self) -> bool {
        matches!(self, Token::Close | Token::CloseList | Token::CloseDict)
    }

    /// As messages call it.
    #[rustfmt::skip]
    pub fn name(self) -> &'static str {
        use Token::*;
        match self {
            Space => "a space", Comment => "a comment", Newline => "the end of the line", Name => "a name",
            Number => "a number", Text => "a text", OpenText => "a text without its end", Load => "'load'",
            Def => "'def'", Return => "'return'", If => "'if'", Else => "'else'", For => "'for'", In => "'in'",
            And => "'and'", Or => "'or'", Not => "'not'", True => "'True'", False => "'False'", None => "'None'",
            Open => "'('", Close => "')'", OpenList => "'['", CloseList => "']'", OpenDict => "'{'",
            CloseDict => "'}'", Comma => "','", Colon => "':'", Is => "'='", Equal => "'=='", Unequal => "'!='",
            Less => "'<'", LessEqual => "'<='", Greater => "'>'", GreaterEqual => "'>='", Plus => "'+'",
            Minus => "'-'", Times => "'*'", Spread => "'**'", Over => "'//'", Rest => "'%'",
            Unknown => "an unknown character", End => "the end of the file",
        }
    }
}

/// All tokens of a text, which together are the text.
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

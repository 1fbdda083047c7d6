//! From tokens to the tree. Goes on behind a faulty statement, so that one look tells all that is wrong.

use crate::diagnostic::{Diagnostic, SourceLocation};
use crate::lex::{self, Token};
use crate::syntax::*;
use crate::unit::{self, Quantity, QuantityError};
use std::rc::Rc;

/// How deep brackets and operators may nest: the tree is walked by recursion.
pub const DEEPEST: usize = 48;
/// More faults of a file than this are not told.
pub const MAX_DIAGNOSTICS: usize = 100;

pub struct Parsed {
    pub stmts: Vec<Stmt>,
    pub diagnostics: Vec<Diagnostic>,
}

pub fn parse(file: u32, text: &str) -> Parsed {
    let mut parser = Parser::new(file, text);
    let stmts = parser.file();
    let diagnostics = parser.diagnostics;
    Parsed { stmts, diagnostics }
}

struct Parser<'a> {
    file: u32,
    text: &'a str,
    tokens: Vec<(Token, std::ops::Range<usize>)>,
    at: usize,
    /// Open brackets: within them lines may end anywhere.
    brackets: Vec<SourceLocation>,
    depth: usize,
    diagnostics: Vec<Diagnostic>,
}

/// A statement can't be read; the report is made.
struct Faulty;
type Read<T> = Result<T, Faulty>;

/// Operators from the loosest to the tightest.
#[rustfmt::skip]
const LEVELS: [&[(Token, Operator)]; 5] = [
    &[(Token::Or, Operator::Or)],
    &[(Token::And, Operator::And)],
    &[(Token::Equal, Operator::Equal), (Token::Unequal, Operator::Unequal), (Token::Less, Operator::Less),
      (Token::LessEqual, Operator::LessEqual), (Token::Greater, Operator::Greater),
      (Token::GreaterEqual, Operator::GreaterEqual), (Token::In, Operator::In)],
    &[(Token::Plus, Operator::Plus), (Token::Minus, Operator::Minus)],
    &[(Token::Times, Operator::Times), (Token::Over, Operator::Over), (Token::Rest, Operator::Rest)],
];
const COMPARISONS: usize = 2;

impl<'a> Parser<'a> {
    fn new(file: u32, text: &'a str) -> Parser<'a> {
        let skip = if text.starts_with('\u{feff}') { 3 } else { 0 };
        let mut tokens = lex::tokens(&text[skip..]);
        for (_, at) in &mut tokens {
            *at = at.start + skip..at.end + skip;
        }
        tokens.push((Token::End, text.len()..text.len()));
        Parser {
            file,
            text,
            tokens,
            at: 0,
            brackets: Vec::new(),
            depth: 0,
            diagnostics: Vec::new(),
        }
    }

    fn skip_blanks(&mut self) {
        while match self.tokens[self.at].0 {
            Token::Space | Token::Comment => true,
            Token::Newline => !self.brackets.is_empty(),
            _ => false,
        } {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Token {
        self.skip_blanks();
        self.tokens[self.at].0
    }

    fn here(&mut self) -> SourceLocation {
        self.skip_blanks();
        self.location(self.at)
    }

    fn location(&self, at: usize) -> SourceLocation {
        let range = &self.tokens[at].1;
        SourceLocation {
            file: self.file,
            start: range.start as u32,
            end: range.end as u32,
        }
    }

    /// The place of what was read last.
    fn last(&self) -> SourceLocation {
        self.location(self.at.saturating_sub(1))
    }

    fn slice(&self, location: SourceLocation) -> &'a str {
        &self.text[location.start as usize..location.end as usize]
    }

    fn take(&mut self, token: Token) -> Option<SourceLocation> {
        if self.peek() != token {
            return None;
        }
        let location = self.location(self.at);
        self.at += usize::from(token != Token::End);
        Some(location)
    }

    fn fault<T>(&mut self, diagnostic: Diagnostic) -> Read<T> {
        if self.diagnostics.len() < MAX_DIAGNOSTICS {
            self.diagnostics.push(diagnostic);
        }
        Err(Faulty)
    }

    fn expected<T>(&mut self, what: &str) -> Read<T> {
        let found = self.peek();
        let location = self.here();
        let diagnostic = match found {
            Token::Unknown => {
                let c = self.slice(location).chars().next().unwrap_or_default();
                let diagnostic =
                    Diagnostic::error(location, format!("the character {c:?} means nothing here"));
                match c {
                    '\'' => diagnostic.with_help("texts stand in double quotes"),
                    '.' => {
                        diagnostic.with_help("there are no members; items(x) and keys(x) take a dict apart")
                    }
                    '/' => diagnostic.with_help("'//' divides and drops the rest"),
                    _ => diagnostic,
                }
            }
            Token::OpenText => Diagnostic::error(location, "the text doesn't end on its line"),
            found => {
                let diagnostic =
                    Diagnostic::error(location, format!("expected {what}, found {}", found.name()));
                match self.brackets.last() {
                    Some(open) => diagnostic.with_related(*open, "in the bracket opened here"),
                    None => diagnostic,
                }
            }
        };
        self.fault(diagnostic)
    }

    fn need(&mut self, token: Token) -> Read<SourceLocation> {
        match self.take(token) {
            Some(location) => Ok(location),
            None => self.expected(token.name()),
        }
    }

    fn deeper<T>(&mut self, read: impl FnOnce(&mut Self) -> Read<T>) -> Read<T> {
        if self.depth >= DEEPEST {
            let location = self.here();
            return self.fault(Diagnostic::error(
                location,
                format!("nested more than {DEEPEST} deep"),
            ));
        }
        self.depth += 1;
        let done = read(self);
        self.depth -= 1;
        done
    }

    fn in_brackets<T>(&mut self, read: impl FnOnce(&mut Self) -> Read<T>) -> Read<T> {
        // It was taken just before.
        self.brackets.push(self.last());
        let done = self.deeper(read);
        self.brackets.pop();
        done
    }

    /// How far the line that starts here is indented; nothing where it holds no statement.
    fn indent(&mut self) -> usize {
        match self.tokens[self.at].0 {
            Token::Space => self.tokens[self.at].1.len(),
            _ => 0,
        }
    }

    /// Passes over lines without a statement.
    fn skip_empty_lines(&mut self) {
        loop {
            let start = self.at;
            self.skip_blanks();
            if self.tokens[self.at].0 != Token::Newline {
                if self.tokens[self.at].0 != Token::End {
                    self.at = start;
                }
                return;
            }
            self.at += 1;
        }
    }

    fn file(&mut self) -> Vec<Stmt> {
        let mut stmts = Vec::new();
        loop {
            self.skip_empty_lines();
            if self.tokens[self.at].0 == Token::End {
                return stmts;
            }
            let indented = self.indent() > 0;
            let start = self.at;
            let read = if indented {
                let location = self.here();
                self.fault(Diagnostic::error(
                    location,
                    "indented, but not in the body of a def",
                ))
            } else {
                self.stmt(false)
            };
            match read {
                Ok(stmt) => stmts.push(stmt),
                Err(Faulty) => self.recover(start),
            }
        }
    }

    /// Goes on at the next line that could begin a statement: one that isn't indented and closes nothing.
    fn recover(&mut self, start: usize) {
        self.brackets.clear();
        self.depth = 0;
        let mut line_starts = self.at > start && self.tokens[self.at - 1].0 == Token::Newline;
        loop {
            let token = self.tokens[self.at].0;
            let begins = matches!(token, Token::Name | Token::Load | Token::Def | Token::Return);
            if token == Token::End || (line_starts && begins) {
                return;
            }
            line_starts = token == Token::Newline;
            self.at += 1;
        }
    }

    fn end_of_line(&mut self) -> Read<()> {
        match self.peek() {
            Token::End => Ok(()),
            Token::Newline => {
                self.at += 1;
                Ok(())
            }
            _ => self.expected("the end of the line"),
        }
    }

    fn stmt(&mut self, in_def: bool) -> Read<Stmt> {
        let stmt = match self.peek() {
            Token::Load if !in_def => self.load()?,
            Token::Def if !in_def => return self.def(),
            Token::Load | Token::Def => return self.expected("an assignment or 'return'"),
            Token::Return if in_def => {
                self.at += 1;
                let value = self.expr()?;
                Stmt::Return { value }
            }
            Token::Return => {
                let location = self.here();
                return self.fault(Diagnostic::error(location, "'return' outside the body of a def"));
            }
            _ => {
                let start = self.here();
                let value = self.expr()?;
                match (self.take(Token::Is), value) {
                    (
                        Some(_),
                        Expr {
                            location,
                            kind: Kind::Name(name),
                        },
                    ) => {
                        let value = self.expr()?;
                        Stmt::Assign {
                            to: Named { name, location },
                            value,
                        }
                    }
                    (Some(_), _) => {
                        let location = start.to(self.last());
                        return self.fault(Diagnostic::error(location, "only a name can be set"));
                    }
                    (None, value) => Stmt::Expr(value),
                }
            }
        };
        self.end_of_line()?;
        Ok(stmt)
    }

    fn load(&mut self) -> Read<Stmt> {
        let start = self.need(Token::Load)?;
        self.need(Token::Open)?;
        let (file, names) = self.in_brackets(|p| {
            let file = p.text_literal()?;
            let mut names = Vec::new();
            while p.take(Token::Comma).is_some() && p.peek() != Token::Close {
                let renamed = match p.peek() {
                    Token::Name => {
                        let named = p.name()?;
                        p.need(Token::Is)?;
                        Some(named)
                    }
                    _ => None,
                };
                let there = p.text_literal()?;
                let here = renamed.unwrap_or_else(|| there.clone());
                names.push((here, there.name));
            }
            p.need(Token::Close)?;
            Ok((file, names))
        })?;
        let location = start.to(self.last());
        Ok(Stmt::Load {
            location,
            file,
            names,
        })
    }

    fn def(&mut self) -> Read<Stmt> {
        self.need(Token::Def)?;
        let name = self.name()?;
        self.need(Token::Open)?;
        let params = self.in_brackets(|p| {
            let mut params: Vec<(Named, Option<Expr>)> = Vec::new();
            while p.peek() != Token::Close {
                let param = p.name()?;
                let default = match p.take(Token::Is) {
                    Some(_) => Some(p.expr()?),
                    None => None,
                };
                params.push((param, default));
                if p.take(Token::Comma).is_none() {
                    break;
                }
            }
            p.need(Token::Close)?;
            Ok(params)
        })?;
        self.need(Token::Colon)?;
        let mut body = Vec::new();
        if self.peek() != Token::Newline {
            body.push(self.stmt(true)?);
            return Ok(Stmt::Def(Rc::new(Def { name, params, body })));
        }
        self.at += 1;
        self.skip_empty_lines();
        let indent = self.indent();
        if indent == 0 || self.peek() == Token::End {
            let location = self.here();
            let diagnostic = Diagnostic::error(location, "a def needs an indented body");
            return self.fault(diagnostic.with_related(name.location, "the def"));
        }
        loop {
            body.push(self.stmt(true)?);
            self.skip_empty_lines();
            match self.indent() {
                _ if self.tokens[self.at].0 == Token::End => break,
                0 => break,
                same if same == indent => {}
                _ => {
                    let location = self.here();
                    let diagnostic = Diagnostic::error(location, "indented unlike the lines before");
                    return self.fault(diagnostic);
                }
            }
        }
        Ok(Stmt::Def(Rc::new(Def { name, params, body })))
    }

    fn name(&mut self) -> Read<Named> {
        let location = self.need(Token::Name)?;
        let name = Rc::from(self.slice(location));
        Ok(Named { name, location })
    }

    fn text_literal(&mut self) -> Read<Named> {
        let location = self.need(Token::Text)?;
        let name = self.unescaped(location)?;
        Ok(Named { name, location })
    }

    fn unescaped(&mut self, location: SourceLocation) -> Read<Rc<str>> {
        let inner = &self.slice(location)[1..(location.end - location.start) as usize - 1];
        if !inner.contains('\\') {
            return Ok(Rc::from(inner));
        }
        let mut out = String::new();
        let mut chars = inner.chars();
        while let Some(c) = chars.next() {
            let meant = match (c, c == '\\') {
                (c, false) => Some(c),
                _ => match chars.next() {
                    Some('n') => Some('\n'),
                    Some('t') => Some('\t'),
                    Some(c @ ('"' | '\\')) => Some(c),
                    _ => None,
                },
            };
            let Some(meant) = meant else {
                let diagnostic = Diagnostic::error(
                    location,
                    "a text knows only \\n, \\t, \\\" and \\\\ behind a backslash",
                );
                return self.fault(diagnostic);
            };
            out.push(meant);
        }
        Ok(Rc::from(out))
    }

    fn expr(&mut self) -> Read<Expr> {
        self.deeper(|p| {
            let value = p.level(0)?;
            if p.take(Token::If).is_none() {
                return Ok(value);
            }
            let condition = p.level(0)?;
            p.need(Token::Else)?;
            let other = p.expr()?;
            let location = value.location.to(other.location);
            let kind = Kind::If(Box::new((condition, value, other)));
            Ok(Expr { location, kind })
        })
    }

    fn operator(&mut self, level: usize) -> Option<Operator> {
        let token = self.peek();
        if level == COMPARISONS && token == Token::Not {
            // Behind an operand it can only be the first half of 'not in'.
            let before = self.at;
            self.at += 1;
            if self.take(Token::In).is_some() {
                return Some(Operator::NotIn);
            }
            self.at = before;
            return None;
        }
        let found = LEVELS[level].iter().find(|(t, _)| *t == token)?.1;
        self.at += 1;
        Some(found)
    }

    fn level(&mut self, level: usize) -> Read<Expr> {
        if level == LEVELS.len() {
            return self.unary();
        }
        // 'not' binds tighter than 'and' and looser than comparisons.
        if level == COMPARISONS && self.peek() == Token::Not {
            let start = self.here();
            self.at += 1;
            let inner = self.deeper(|p| p.level(COMPARISONS))?;
            let location = start.to(inner.location);
            let kind = Kind::Not(Box::new(inner));
            return Ok(Expr { location, kind });
        }
        let first = self.level(level + 1)?;
        let mut rest = Vec::new();
        while let Some(operator) = self.operator(level) {
            let operand = self.level(level + 1)?;
            if level == COMPARISONS && !rest.is_empty() {
                let diagnostic = Diagnostic::error(operand.location, "comparisons can't be chained");
                return self.fault(diagnostic.with_help("join two of them by 'and'"));
            }
            rest.push((operator, operand));
        }
        match rest.last() {
            None => Ok(first),
            Some((_, last)) => {
                let location = first.location.to(last.location);
                let kind = Kind::Chain(Box::new(first), rest);
                Ok(Expr { location, kind })
            }
        }
    }

    fn unary(&mut self) -> Read<Expr> {
        if let Some(start) = self.take(Token::Minus) {
            let inner = self.deeper(|p| p.unary())?;
            let location = start.to(inner.location);
            let kind = Kind::Minus(Box::new(inner));
            return Ok(Expr { location, kind });
        }
        let mut value = self.atom()?;
        let mut links = 0;
        loop {
            let start = value.location;
            let kind = match self.peek() {
                Token::Open => {
                    self.at += 1;
                    let arguments = self.arguments()?;
                    Kind::Call {
                        callee: Box::new(value),
                        arguments,
                    }
                }
                Token::OpenList => {
                    self.at += 1;
                    let index = self.in_brackets(|p| {
                        let index = p.expr()?;
                        p.need(Token::CloseList)?;
                        Ok(index)
                    })?;
                    Kind::Index(Box::new((value, index)))
                }
                _ => return Ok(value),
            };
            links += 1;
            if links + self.depth > DEEPEST {
                let location = self.here();
                return self.fault(Diagnostic::error(
                    location,
                    format!("nested more than {DEEPEST} deep"),
                ));
            }
            let location = start.to(self.last());
            value = Expr { location, kind };
        }
    }

    fn arguments(&mut self) -> Read<Vec<Argument>> {
        self.in_brackets(|p| {
            let mut all = Vec::new();
            while p.peek() != Token::Close {
                let argument = if p.take(Token::Spread).is_some() {
                    let value = p.expr()?;
                    Argument {
                        form: Form::Spread,
                        value,
                    }
                } else {
                    let value = p.expr()?;
                    match (p.peek(), value) {
                        (
                            Token::Is,
                            Expr {
                                location,
                                kind: Kind::Name(name),
                            },
                        ) => {
                            p.at += 1;
                            let value = p.expr()?;
                            Argument {
                                form: Form::Named(Named { name, location }),
                                value,
                            }
                        }
                        (_, value) => Argument {
                            form: Form::Plain,
                            value,
                        },
                    }
                };
                all.push(argument);
                if p.take(Token::Comma).is_none() {
                    break;
                }
            }
            p.need(Token::Close)?;
            Ok(all)
        })
    }

    fn atom(&mut self) -> Read<Expr> {
        let (token, location) = (self.peek(), self.here());
        let kind = match token {
            Token::Name => Kind::Name(Rc::from(self.slice(location))),
            Token::True | Token::False => Kind::Bool(token == Token::True),
            Token::None => Kind::None,
            Token::Number => Kind::Quantity(self.number(location)?),
            Token::Text => Kind::Text(self.unescaped(location)?),
            Token::Open => {
                self.at += 1;
                return self.in_brackets(|p| {
                    let inner = p.expr()?;
                    p.need(Token::Close)?;
                    Ok(inner)
                });
            }
            Token::OpenList | Token::OpenDict => {
                self.at += 1;
                let kind = self.in_brackets(|p| match token {
                    Token::OpenList => p.list(),
                    _ => p.dict(),
                })?;
                let location = location.to(self.last());
                return Ok(Expr { location, kind });
            }
            _ => return self.expected("a value"),
        };
        self.at += 1;
        Ok(Expr { location, kind })
    }

    fn number(&mut self, location: SourceLocation) -> Read<Quantity> {
        let text = self.slice(location);
        Quantity::parse(text).or_else(|unread| {
            let suffix = &text[unit::suffix_at(text)..];
            let message = match unread {
                QuantityError::UnknownUnit => format!("'{suffix}' is no unit"),
                other => other.reason().to_owned(),
            };
            let diagnostic = Diagnostic::error(location, message);
            let near = crate::diagnostic::nearest(&suffix.to_ascii_lowercase(), ["ms", "us", "min"]);
            let fits = unit::suffixes().find(|s| s.eq_ignore_ascii_case(suffix)).or(near);
            self.fault(match (unread, fits) {
                (QuantityError::UnknownUnit, Some(fits)) => {
                    diagnostic.with_help(format!("'{fits}' was meant?"))
                }
                (QuantityError::UnknownUnit, None) => {
                    let all: Vec<_> = unit::suffixes().collect();
                    diagnostic.with_help(format!("units are {}", all.join(", ")))
                }
                _ => diagnostic,
            })
        })
    }

    fn list(&mut self) -> Read<Kind> {
        let mut all = Vec::new();
        while self.peek() != Token::CloseList {
            all.push(self.expr()?);
            if all.len() == 1 && self.peek() == Token::For {
                let clauses = self.clauses(Token::CloseList)?;
                let body = Box::new((all.remove(0), None));
                return Ok(Kind::Comprehension { body, clauses });
            }
            if self.take(Token::Comma).is_none() {
                break;
            }
        }
        self.need(Token::CloseList)?;
        Ok(Kind::List(all))
    }

    fn dict(&mut self) -> Read<Kind> {
        let mut all = Vec::new();
        while self.peek() != Token::CloseDict {
            let key = self.expr()?;
            self.need(Token::Colon)?;
            let value = self.expr()?;
            if all.is_empty() && self.peek() == Token::For {
                let clauses = self.clauses(Token::CloseDict)?;
                let body = Box::new((key, Some(value)));
                return Ok(Kind::Comprehension { body, clauses });
            }
            all.push((key, value));
            if self.take(Token::Comma).is_none() {
                break;
            }
        }
        self.need(Token::CloseDict)?;
        Ok(Kind::Dict(all))
    }

    /// What a comprehension goes over: a 'for', then any more, and conditions. Neither holds an 'if' of its own,
    /// which would be taken for the next clause.
    fn clauses(&mut self, end: Token) -> Read<Vec<Clause>> {
        let mut clauses = Vec::new();
        loop {
            match self.peek() {
                Token::For => {
                    self.at += 1;
                    let mut names = vec![self.name()?];
                    while self.take(Token::Comma).is_some() {
                        names.push(self.name()?);
                    }
                    self.need(Token::In)?;
                    clauses.push(Clause::For(names, self.level(0)?));
                }
                Token::If => {
                    self.at += 1;
                    clauses.push(Clause::If(self.level(0)?));
                }
                token if token == end => {
                    self.at += 1;
                    return Ok(clauses);
                }
                _ => return self.expected("'for', 'if' or the closing bracket"),
            }
            if clauses.len() > DEEPEST {
                let location = self.here();
                return self.fault(Diagnostic::error(
                    location,
                    format!("more than {DEEPEST} clauses"),
                ));
            }
        }
    }
}

//! From tokens to the tree. Goes on behind a faulty statement, so that one look tells all that is wrong.

use crate::lex::{self, Token};
use crate::report::{Place, Report};
use crate::syntax::*;
use crate::unit::{self, Quantity, Unread};
use std::rc::Rc;

/// How deep brackets and operators may nest: the tree is walked by recursion.
pub const DEEPEST: usize = 48;
/// More faults of a file than this are not told.
pub const MOST_REPORTS: usize = 100;

pub struct Parsed {
    pub stmts: Vec<Stmt>,
    pub reports: Vec<Report>,
}

pub fn parse(file: u32, text: &str) -> Parsed {
    let mut parser = Parser::new(file, text);
    let stmts = parser.file();
    let reports = parser.reports;
    Parsed { stmts, reports }
}

struct Parser<'a> {
    file: u32,
    text: &'a str,
    tokens: Vec<(Token, std::ops::Range<usize>)>,
    at: usize,
    /// Open brackets: within them lines may end anywhere.
    brackets: Vec<Place>,
    depth: usize,
    reports: Vec<Report>,
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
            reports: Vec::new(),
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

    fn here(&mut self) -> Place {
        self.skip_blanks();
        self.place(self.at)
    }

    fn place(&self, at: usize) -> Place {
        let range = &self.tokens[at].1;
        Place {
            file: self.file,
            start: range.start as u32,
            end: range.end as u32,
        }
    }

    /// The place of what was read last.
    fn last(&self) -> Place {
        self.place(self.at.saturating_sub(1))
    }

    fn slice(&self, place: Place) -> &'a str {
        &self.text[place.start as usize..place.end as usize]
    }

    fn take(&mut self, token: Token) -> Option<Place> {
        if self.peek() != token {
            return None;
        }
        let place = self.place(self.at);
        self.at += usize::from(token != Token::End);
        Some(place)
    }

    fn fault<T>(&mut self, report: Report) -> Read<T> {
        if self.reports.len() < MOST_REPORTS {
            self.reports.push(report);
        }
        Err(Faulty)
    }

    fn expected<T>(&mut self, what: &str) -> Read<T> {
        let found = self.peek();
        let place = self.here();
        let report = match found {
            Token::Unknown => {
                let c = self.slice(place).chars().next().unwrap_or_default();
                let report = Report::error(place, format!("the character {c:?} means nothing here"));
                match c {
                    '\'' => report.help("texts stand in double quotes"),
                    '.' => report.help("there are no members; items(x) and keys(x) take a dict apart"),
                    '/' => report.help("'//' divides and drops the rest"),
                    _ => report,
                }
            }
            Token::OpenText => Report::error(place, "the text doesn't end on its line"),
            found => {
                let report = Report::error(place, format!("expected {what}, found {}", found.name()));
                match self.brackets.last() {
                    Some(open) => report.beside(*open, "in the bracket opened here"),
                    None => report,
                }
            }
        };
        self.fault(report)
    }

    fn need(&mut self, token: Token) -> Read<Place> {
        match self.take(token) {
            Some(place) => Ok(place),
            None => self.expected(token.name()),
        }
    }

    fn deeper<T>(&mut self, read: impl FnOnce(&mut Self) -> Read<T>) -> Read<T> {
        if self.depth >= DEEPEST {
            let place = self.here();
            return self.fault(Report::error(place, format!("nested more than {DEEPEST} deep")));
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
                let place = self.here();
                self.fault(Report::error(place, "indented, but not in the body of a def"))
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
                let place = self.here();
                return self.fault(Report::error(place, "'return' outside the body of a def"));
            }
            _ => {
                let start = self.here();
                let value = self.expr()?;
                match (self.take(Token::Is), value) {
                    (
                        Some(_),
                        Expr {
                            place,
                            kind: Kind::Name(name),
                        },
                    ) => {
                        let value = self.expr()?;
                        Stmt::Assign {
                            to: Named { name, place },
                            value,
                        }
                    }
                    (Some(_), _) => {
                        let place = start.to(self.last());
                        return self.fault(Report::error(place, "only a name can be set"));
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
        let place = start.to(self.last());
        Ok(Stmt::Load { place, file, names })
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
            let place = self.here();
            let report = Report::error(place, "a def needs an indented body");
            return self.fault(report.beside(name.place, "the def"));
        }
        loop {
            body.push(self.stmt(true)?);
            self.skip_empty_lines();
            match self.indent() {
                _ if self.tokens[self.at].0 == Token::End => break,
                0 => break,
                same if same == indent => {}
                _ => {
                    let place = self.here();
                    let report = Report::error(place, "indented unlike the lines before");
                    return self.fault(report);
                }
            }
        }
        Ok(Stmt::Def(Rc::new(Def { name, params, body })))
    }

    fn name(&mut self) -> Read<Named> {
        let place = self.need(Token::Name)?;
        let name = Rc::from(self.slice(place));
        Ok(Named { name, place })
    }

    fn text_literal(&mut self) -> Read<Named> {
        let place = self.need(Token::Text)?;
        let name = self.unescaped(place)?;
        Ok(Named { name, place })
    }

    fn unescaped(&mut self, place: Place) -> Read<Rc<str>> {
        let inner = &self.slice(place)[1..(place.end - place.start) as usize - 1];
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
                let report = Report::error(
                    place,
                    "a text knows only \\n, \\t, \\\" and \\\\ behind a backslash",
                );
                return self.fault(report);
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
            let place = value.place.to(other.place);
            let kind = Kind::If(Box::new((condition, value, other)));
            Ok(Expr { place, kind })
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
            let place = start.to(inner.place);
            let kind = Kind::Not(Box::new(inner));
            return Ok(Expr { place, kind });
        }
        let first = self.level(level + 1)?;
        let mut rest = Vec::new();
        while let Some(operator) = self.operator(level) {
            let operand = self.level(level + 1)?;
            if level == COMPARISONS && !rest.is_empty() {
                let report = Report::error(operand.place, "comparisons can't be chained");
                return self.fault(report.help("join two of them by 'and'"));
            }
            rest.push((operator, operand));
        }
        match rest.last() {
            None => Ok(first),
            Some((_, last)) => {
                let place = first.place.to(last.place);
                let kind = Kind::Chain(Box::new(first), rest);
                Ok(Expr { place, kind })
            }
        }
    }

    fn unary(&mut self) -> Read<Expr> {
        if let Some(start) = self.take(Token::Minus) {
            let inner = self.deeper(|p| p.unary())?;
            let place = start.to(inner.place);
            let kind = Kind::Minus(Box::new(inner));
            return Ok(Expr { place, kind });
        }
        let mut value = self.atom()?;
        let mut links = 0;
        loop {
            let start = value.place;
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
                let place = self.here();
                return self.fault(Report::error(place, format!("nested more than {DEEPEST} deep")));
            }
            let place = start.to(self.last());
            value = Expr { place, kind };
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
                                place,
                                kind: Kind::Name(name),
                            },
                        ) => {
                            p.at += 1;
                            let value = p.expr()?;
                            Argument {
                                form: Form::Named(Named { name, place }),
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
        let (token, place) = (self.peek(), self.here());
        let kind = match token {
            Token::Name => Kind::Name(Rc::from(self.slice(place))),
            Token::True | Token::False => Kind::Bool(token == Token::True),
            Token::None => Kind::None,
            Token::Number => Kind::Quantity(self.number(place)?),
            Token::Text => Kind::Text(self.unescaped(place)?),
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
                let place = place.to(self.last());
                return Ok(Expr { place, kind });
            }
            _ => return self.expected("a value"),
        };
        self.at += 1;
        Ok(Expr { place, kind })
    }

    fn number(&mut self, place: Place) -> Read<Quantity> {
        let text = self.slice(place);
        Quantity::read(text).or_else(|unread| {
            let suffix = &text[unit::suffix_at(text)..];
            let message = match unread {
                Unread::UnknownUnit => format!("'{suffix}' is no unit"),
                other => other.reason().to_owned(),
            };
            let report = Report::error(place, message);
            let near = crate::report::nearest(&suffix.to_ascii_lowercase(), ["ms", "us", "min"]);
            let fits = unit::suffixes().find(|s| s.eq_ignore_ascii_case(suffix)).or(near);
            self.fault(match (unread, fits) {
                (Unread::UnknownUnit, Some(fits)) => report.help(format!("'{fits}' was meant?")),
                (Unread::UnknownUnit, None) => {
                    let all: Vec<_> = unit::suffixes().collect();
                    report.help(format!("units are {}", all.join(", ")))
                }
                _ => report,
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
                let place = self.here();
                return self.fault(Report::error(place, format!("more than {DEEPEST} clauses")));
            }
        }
    }
}

//! Parser. It recovers after a statement with a syntax error, so that one pass reports all of them.

use crate::diagnostic::{Diagnostic, SourceLocation};
use crate::lex::{self, Token};
use crate::syntax::*;
use crate::unit::{self, Quantity, QuantityError};
use std::rc::Rc;

/// Bound on nested brackets and operators: the syntax tree is walked recursively.
pub const MAX_NESTING_DEPTH: usize = 48;
/// Diagnostics per pass; further ones are dropped.
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
    position: usize,
    /// Open brackets; within them line ends are insignificant.
    brackets: Vec<SourceLocation>,
    depth: usize,
    diagnostics: Vec<Diagnostic>,
}

/// The statement has a syntax error, which is in the diagnostics.
struct Reported;
type ParseResult<T> = Result<T, Reported>;

/// Binary operators by precedence, the loosest first.
#[rustfmt::skip]
const PRECEDENCE_LEVELS: [&[(Token, Operator)]; 5] = [
    &[(Token::Or, Operator::Or)],
    &[(Token::And, Operator::And)],
    &[(Token::Equal, Operator::Equal), (Token::NotEqual, Operator::NotEqual), (Token::Less, Operator::Less),
      (Token::LessEqual, Operator::LessEqual), (Token::Greater, Operator::Greater),
      (Token::GreaterEqual, Operator::GreaterEqual), (Token::In, Operator::In)],
    &[(Token::Plus, Operator::Add), (Token::Minus, Operator::Subtract)],
    &[(Token::Star, Operator::Multiply), (Token::DoubleSlash, Operator::Divide),
    (Token::Percent, Operator::Remainder)],
];
const COMPARISON_LEVEL: usize = 2;

impl<'a> Parser<'a> {
    fn new(file: u32, text: &'a str) -> Parser<'a> {
        let skip = if text.starts_with('\u{feff}') { 3 } else { 0 };
        let mut tokens = lex::tokens(&text[skip..]);
        for (_, range) in &mut tokens {
            *range = range.start + skip..range.end + skip;
        }
        tokens.push((Token::End, text.len()..text.len()));
        Parser {
            file,
            text,
            tokens,
            position: 0,
            brackets: Vec::new(),
            depth: 0,
            diagnostics: Vec::new(),
        }
    }

    fn skip_blanks(&mut self) {
        while match self.tokens[self.position].0 {
            Token::Space | Token::Comment => true,
            Token::Newline => !self.brackets.is_empty(),
            _ => false,
        } {
            self.position += 1;
        }
    }

    fn peek(&mut self) -> Token {
        self.skip_blanks();
        self.tokens[self.position].0
    }

    fn current_location(&mut self) -> SourceLocation {
        self.skip_blanks();
        self.location_at(self.position)
    }

    fn location_at(&self, token_index: usize) -> SourceLocation {
        let range = &self.tokens[token_index].1;
        SourceLocation {
            file: self.file,
            start: range.start as u32,
            end: range.end as u32,
        }
    }

    /// Location of the token before the current one.
    fn previous_location(&self) -> SourceLocation {
        self.location_at(self.position.saturating_sub(1))
    }

    fn slice(&self, location: SourceLocation) -> &'a str {
        &self.text[location.start as usize..location.end as usize]
    }

    fn accept(&mut self, token: Token) -> Option<SourceLocation> {
        if self.peek() != token {
            return None;
        }
        let location = self.location_at(self.position);
        self.position += usize::from(token != Token::End);
        Some(location)
    }

    fn fail<T>(&mut self, diagnostic: Diagnostic) -> ParseResult<T> {
        if self.diagnostics.len() < MAX_DIAGNOSTICS {
            self.diagnostics.push(diagnostic);
        }
        Err(Reported)
    }

    fn unexpected<T>(&mut self, expected: &str) -> ParseResult<T> {
        let found = self.peek();
        let location = self.current_location();
        let diagnostic = match found {
            Token::Unknown => {
                let c = self.slice(location).chars().next().unwrap_or_default();
                let diagnostic = Diagnostic::error(location, format!("unexpected character {c:?}"));
                match c {
                    '\'' => diagnostic.with_help("strings use double quotes"),
                    '.' => diagnostic.with_help("values have no members; use items(x) or keys(x) on a dict"),
                    '/' => diagnostic.with_help("use '//' for integer division"),
                    _ => diagnostic,
                }
            }
            Token::UnterminatedString => Diagnostic::error(location, "unterminated string"),
            found => {
                let diagnostic =
                    Diagnostic::error(location, format!("expected {expected}, found {}", found.name()));
                match self.brackets.last() {
                    Some(open) => diagnostic.with_related(*open, "within the bracket opened here"),
                    None => diagnostic,
                }
            }
        };
        self.fail(diagnostic)
    }

    fn expect(&mut self, token: Token) -> ParseResult<SourceLocation> {
        match self.accept(token) {
            Some(location) => Ok(location),
            None => self.unexpected(token.name()),
        }
    }

    fn nested<T>(&mut self, parse_content: impl FnOnce(&mut Self) -> ParseResult<T>) -> ParseResult<T> {
        if self.depth >= MAX_NESTING_DEPTH {
            let location = self.current_location();
            return self.fail(Diagnostic::error(
                location,
                format!("nested more than {MAX_NESTING_DEPTH} levels deep"),
            ));
        }
        self.depth += 1;
        let result = parse_content(self);
        self.depth -= 1;
        result
    }

    fn in_brackets<T>(&mut self, parse_content: impl FnOnce(&mut Self) -> ParseResult<T>) -> ParseResult<T> {
        // The opening bracket is the previous token.
        self.brackets.push(self.previous_location());
        let result = self.nested(parse_content);
        self.brackets.pop();
        result
    }

    /// Bytes of indentation at the current token, which begins a line.
    fn indentation(&mut self) -> usize {
        match self.tokens[self.position].0 {
            Token::Space => self.tokens[self.position].1.len(),
            _ => 0,
        }
    }

    /// Skips empty lines and comment lines.
    fn skip_empty_lines(&mut self) {
        loop {
            let start = self.position;
            self.skip_blanks();
            if self.tokens[self.position].0 != Token::Newline {
                if self.tokens[self.position].0 != Token::End {
                    self.position = start;
                }
                return;
            }
            self.position += 1;
        }
    }

    fn file(&mut self) -> Vec<Stmt> {
        let mut stmts = Vec::new();
        loop {
            self.skip_empty_lines();
            if self.tokens[self.position].0 == Token::End {
                return stmts;
            }
            let is_indented = self.indentation() > 0;
            let start = self.position;
            let parsed = if is_indented {
                let location = self.current_location();
                self.fail(Diagnostic::error(
                    location,
                    "unexpected indentation outside a function body",
                ))
            } else {
                self.stmt(false)
            };
            match parsed {
                Ok(stmt) => stmts.push(stmt),
                Err(Reported) => self.recover(start),
            }
        }
    }

    /// Skips to the next unindented line that begins with a name or the keyword of a statement.
    fn recover(&mut self, start: usize) {
        self.brackets.clear();
        self.depth = 0;
        let mut line_starts = self.position > start && self.tokens[self.position - 1].0 == Token::Newline;
        loop {
            let token = self.tokens[self.position].0;
            let is_statement_start = matches!(token, Token::Name | Token::Load | Token::Def | Token::Return);
            if token == Token::End || (line_starts && is_statement_start) {
                return;
            }
            line_starts = token == Token::Newline;
            self.position += 1;
        }
    }

    fn end_of_line(&mut self) -> ParseResult<()> {
        match self.peek() {
            Token::End => Ok(()),
            Token::Newline => {
                self.position += 1;
                Ok(())
            }
            _ => self.unexpected("the end of the line"),
        }
    }

    fn stmt(&mut self, is_in_function: bool) -> ParseResult<Stmt> {
        let stmt = match self.peek() {
            Token::Load if !is_in_function => self.load()?,
            Token::Def if !is_in_function => return self.def(),
            Token::Load | Token::Def => return self.unexpected("an assignment or 'return'"),
            Token::Return if is_in_function => {
                self.position += 1;
                let value = self.expr()?;
                Stmt::Return { value }
            }
            Token::Return => {
                let location = self.current_location();
                return self.fail(Diagnostic::error(location, "'return' outside a function"));
            }
            _ => {
                let start = self.current_location();
                let value = self.expr()?;
                match (self.accept(Token::Assign), value) {
                    (
                        Some(_),
                        Expr {
                            location,
                            kind: ExprKind::Name(name),
                        },
                    ) => {
                        let value = self.expr()?;
                        Stmt::Assign {
                            to: Identifier { name, location },
                            value,
                        }
                    }
                    (Some(_), _) => {
                        let location = start.to(self.previous_location());
                        return self.fail(Diagnostic::error(location, "only a name can be assigned to"));
                    }
                    (None, value) => Stmt::Expr(value),
                }
            }
        };
        self.end_of_line()?;
        Ok(stmt)
    }

    fn load(&mut self) -> ParseResult<Stmt> {
        let start = self.expect(Token::Load)?;
        self.expect(Token::OpenParen)?;
        let (file, names) = self.in_brackets(|p| {
            let file = p.string_literal()?;
            let mut names = Vec::new();
            while p.accept(Token::Comma).is_some() && p.peek() != Token::CloseParen {
                let local_name = match p.peek() {
                    Token::Name => {
                        let named = p.name()?;
                        p.expect(Token::Assign)?;
                        Some(named)
                    }
                    _ => None,
                };
                let loaded_name = p.string_literal()?;
                let bound_name = local_name.unwrap_or_else(|| loaded_name.clone());
                names.push((bound_name, loaded_name.name));
            }
            p.expect(Token::CloseParen)?;
            Ok((file, names))
        })?;
        let location = start.to(self.previous_location());
        Ok(Stmt::Load {
            location,
            file,
            names,
        })
    }

    fn def(&mut self) -> ParseResult<Stmt> {
        self.expect(Token::Def)?;
        let name = self.name()?;
        self.expect(Token::OpenParen)?;
        let params = self.in_brackets(|p| {
            let mut params: Vec<(Identifier, Option<Expr>)> = Vec::new();
            while p.peek() != Token::CloseParen {
                let param = p.name()?;
                let default = match p.accept(Token::Assign) {
                    Some(_) => Some(p.expr()?),
                    None => None,
                };
                params.push((param, default));
                if p.accept(Token::Comma).is_none() {
                    break;
                }
            }
            p.expect(Token::CloseParen)?;
            Ok(params)
        })?;
        self.expect(Token::Colon)?;
        let mut body = Vec::new();
        if self.peek() != Token::Newline {
            body.push(self.stmt(true)?);
            return Ok(Stmt::Def(Rc::new(Def { name, params, body })));
        }
        self.position += 1;
        self.skip_empty_lines();
        let indentation = self.indentation();
        if indentation == 0 || self.peek() == Token::End {
            let location = self.current_location();
            let diagnostic = Diagnostic::error(location, "the function body must be indented");
            return self.fail(diagnostic.with_related(name.location, "the function"));
        }
        loop {
            body.push(self.stmt(true)?);
            self.skip_empty_lines();
            match self.indentation() {
                _ if self.tokens[self.position].0 == Token::End => break,
                0 => break,
                width if width == indentation => {}
                _ => {
                    let location = self.current_location();
                    let diagnostic = Diagnostic::error(location, "inconsistent indentation");
                    return self.fail(diagnostic);
                }
            }
        }
        Ok(Stmt::Def(Rc::new(Def { name, params, body })))
    }

    fn name(&mut self) -> ParseResult<Identifier> {
        let location = self.expect(Token::Name)?;
        let name = Rc::from(self.slice(location));
        Ok(Identifier { name, location })
    }

    fn string_literal(&mut self) -> ParseResult<Identifier> {
        let location = self.expect(Token::String)?;
        let name = self.unescape(location)?;
        Ok(Identifier { name, location })
    }

    fn unescape(&mut self, location: SourceLocation) -> ParseResult<Rc<str>> {
        let content = &self.slice(location)[1..(location.end - location.start) as usize - 1];
        if !content.contains('\\') {
            return Ok(Rc::from(content));
        }
        let mut out = String::new();
        let mut chars = content.chars();
        while let Some(c) = chars.next() {
            let unescaped = match (c, c == '\\') {
                (c, false) => Some(c),
                _ => match chars.next() {
                    Some('n') => Some('\n'),
                    Some('t') => Some('\t'),
                    Some(c @ ('"' | '\\')) => Some(c),
                    _ => None,
                },
            };
            let Some(unescaped) = unescaped else {
                let diagnostic = Diagnostic::error(
                    location,
                    "unknown escape sequence: only \\n, \\t, \\\" and \\\\ are known",
                );
                return self.fail(diagnostic);
            };
            out.push(unescaped);
        }
        Ok(Rc::from(out))
    }

    fn expr(&mut self) -> ParseResult<Expr> {
        self.nested(|p| {
            let value = p.binary(0)?;
            if p.accept(Token::If).is_none() {
                return Ok(value);
            }
            let condition = p.binary(0)?;
            p.expect(Token::Else)?;
            let other = p.expr()?;
            let location = value.location.to(other.location);
            let kind = ExprKind::If(Box::new((condition, value, other)));
            Ok(Expr { location, kind })
        })
    }

    fn operator(&mut self, level: usize) -> Option<Operator> {
        let token = self.peek();
        if level == COMPARISON_LEVEL && token == Token::Not {
            // After an operand, 'not' can only begin 'not in'.
            let saved_position = self.position;
            self.position += 1;
            if self.accept(Token::In).is_some() {
                return Some(Operator::NotIn);
            }
            self.position = saved_position;
            return None;
        }
        let found = PRECEDENCE_LEVELS[level].iter().find(|(t, _)| *t == token)?.1;
        self.position += 1;
        Some(found)
    }

    fn binary(&mut self, level: usize) -> ParseResult<Expr> {
        if level == PRECEDENCE_LEVELS.len() {
            return self.unary();
        }
        // Precedence of 'not': above 'and', below the comparisons.
        if level == COMPARISON_LEVEL && self.peek() == Token::Not {
            let start = self.current_location();
            self.position += 1;
            let operand = self.nested(|p| p.binary(COMPARISON_LEVEL))?;
            let location = start.to(operand.location);
            let kind = ExprKind::Not(Box::new(operand));
            return Ok(Expr { location, kind });
        }
        let first = self.binary(level + 1)?;
        let mut rest = Vec::new();
        while let Some(operator) = self.operator(level) {
            let operand = self.binary(level + 1)?;
            if level == COMPARISON_LEVEL && !rest.is_empty() {
                let diagnostic = Diagnostic::error(operand.location, "comparisons cannot be chained");
                return self.fail(diagnostic.with_help("combine two of them with 'and'"));
            }
            rest.push((operator, operand));
        }
        match rest.last() {
            None => Ok(first),
            Some((_, last)) => {
                let location = first.location.to(last.location);
                let kind = ExprKind::BinaryChain(Box::new(first), rest);
                Ok(Expr { location, kind })
            }
        }
    }

    fn unary(&mut self) -> ParseResult<Expr> {
        if let Some(start) = self.accept(Token::Minus) {
            let operand = self.nested(|p| p.unary())?;
            let location = start.to(operand.location);
            let kind = ExprKind::Negate(Box::new(operand));
            return Ok(Expr { location, kind });
        }
        let mut value = self.primary()?;
        let mut postfix_count = 0;
        loop {
            let start = value.location;
            let kind = match self.peek() {
                Token::OpenParen => {
                    self.position += 1;
                    let arguments = self.arguments()?;
                    ExprKind::Call {
                        callee: Box::new(value),
                        arguments,
                    }
                }
                Token::OpenBracket => {
                    self.position += 1;
                    let index = self.in_brackets(|p| {
                        let index = p.expr()?;
                        p.expect(Token::CloseBracket)?;
                        Ok(index)
                    })?;
                    ExprKind::Index(Box::new((value, index)))
                }
                _ => return Ok(value),
            };
            postfix_count += 1;
            if postfix_count + self.depth > MAX_NESTING_DEPTH {
                let location = self.current_location();
                return self.fail(Diagnostic::error(
                    location,
                    format!("nested more than {MAX_NESTING_DEPTH} levels deep"),
                ));
            }
            let location = start.to(self.previous_location());
            value = Expr { location, kind };
        }
    }

    fn arguments(&mut self) -> ParseResult<Vec<Argument>> {
        self.in_brackets(|p| {
            let mut all = Vec::new();
            while p.peek() != Token::CloseParen {
                let argument = if p.accept(Token::DoubleStar).is_some() {
                    let value = p.expr()?;
                    Argument {
                        kind: ArgumentKind::Spread,
                        value,
                    }
                } else {
                    let value = p.expr()?;
                    match (p.peek(), value) {
                        (
                            Token::Assign,
                            Expr {
                                location,
                                kind: ExprKind::Name(name),
                            },
                        ) => {
                            p.position += 1;
                            let value = p.expr()?;
                            Argument {
                                kind: ArgumentKind::Named(Identifier { name, location }),
                                value,
                            }
                        }
                        (_, value) => Argument {
                            kind: ArgumentKind::Positional,
                            value,
                        },
                    }
                };
                all.push(argument);
                if p.accept(Token::Comma).is_none() {
                    break;
                }
            }
            p.expect(Token::CloseParen)?;
            Ok(all)
        })
    }

    fn primary(&mut self) -> ParseResult<Expr> {
        let (token, location) = (self.peek(), self.current_location());
        let kind = match token {
            Token::Name => ExprKind::Name(Rc::from(self.slice(location))),
            Token::True | Token::False => ExprKind::Bool(token == Token::True),
            Token::None => ExprKind::None,
            Token::Number => ExprKind::Quantity(self.number(location)?),
            Token::String => ExprKind::String(self.unescape(location)?),
            Token::OpenParen => {
                self.position += 1;
                return self.in_brackets(|p| {
                    let inner = p.expr()?;
                    p.expect(Token::CloseParen)?;
                    Ok(inner)
                });
            }
            Token::OpenBracket | Token::OpenBrace => {
                self.position += 1;
                let kind = self.in_brackets(|p| match token {
                    Token::OpenBracket => p.list(),
                    _ => p.dict(),
                })?;
                let location = location.to(self.previous_location());
                return Ok(Expr { location, kind });
            }
            _ => return self.unexpected("a value"),
        };
        self.position += 1;
        Ok(Expr { location, kind })
    }

    fn number(&mut self, location: SourceLocation) -> ParseResult<Quantity> {
        let text = self.slice(location);
        Quantity::parse(text).or_else(|error| {
            let suffix = &text[unit::suffix_at(text)..];
            let message = match error {
                QuantityError::UnknownUnit => format!("unknown unit '{suffix}'"),
                other => other.reason().to_owned(),
            };
            let diagnostic = Diagnostic::error(location, message);
            let near = crate::diagnostic::nearest(&suffix.to_ascii_lowercase(), ["ms", "us", "min"]);
            let suggestion = unit::suffixes().find(|s| s.eq_ignore_ascii_case(suffix)).or(near);
            self.fail(match (error, suggestion) {
                (QuantityError::UnknownUnit, Some(suggestion)) => {
                    diagnostic.with_help(format!("did you mean '{suggestion}'?"))
                }
                (QuantityError::UnknownUnit, None) => {
                    let all: Vec<_> = unit::suffixes().collect();
                    diagnostic.with_help(format!("known units are {}", all.join(", ")))
                }
                _ => diagnostic,
            })
        })
    }

    fn list(&mut self) -> ParseResult<ExprKind> {
        let mut all = Vec::new();
        while self.peek() != Token::CloseBracket {
            all.push(self.expr()?);
            if all.len() == 1 && self.peek() == Token::For {
                let clauses = self.clauses(Token::CloseBracket)?;
                let body = Box::new((all.remove(0), None));
                return Ok(ExprKind::Comprehension { body, clauses });
            }
            if self.accept(Token::Comma).is_none() {
                break;
            }
        }
        self.expect(Token::CloseBracket)?;
        Ok(ExprKind::List(all))
    }

    fn dict(&mut self) -> ParseResult<ExprKind> {
        let mut all = Vec::new();
        while self.peek() != Token::CloseBrace {
            let key = self.expr()?;
            self.expect(Token::Colon)?;
            let value = self.expr()?;
            if all.is_empty() && self.peek() == Token::For {
                let clauses = self.clauses(Token::CloseBrace)?;
                let body = Box::new((key, Some(value)));
                return Ok(ExprKind::Comprehension { body, clauses });
            }
            all.push((key, value));
            if self.accept(Token::Comma).is_none() {
                break;
            }
        }
        self.expect(Token::CloseBrace)?;
        Ok(ExprKind::Dict(all))
    }

    /// Clauses of a comprehension, with the closing bracket. Their expressions hold no bare conditional: its
    /// 'if' would be ambiguous with the next clause.
    fn clauses(&mut self, end: Token) -> ParseResult<Vec<Clause>> {
        let mut clauses = Vec::new();
        loop {
            match self.peek() {
                Token::For => {
                    self.position += 1;
                    let mut names = vec![self.name()?];
                    while self.accept(Token::Comma).is_some() {
                        names.push(self.name()?);
                    }
                    self.expect(Token::In)?;
                    clauses.push(Clause::For(names, self.binary(0)?));
                }
                Token::If => {
                    self.position += 1;
                    clauses.push(Clause::If(self.binary(0)?));
                }
                token if token == end => {
                    self.position += 1;
                    return Ok(clauses);
                }
                _ => return self.unexpected("'for', 'if' or the closing bracket"),
            }
            if clauses.len() > MAX_NESTING_DEPTH {
                let location = self.current_location();
                return self.fail(Diagnostic::error(
                    location,
                    format!("more than {MAX_NESTING_DEPTH} clauses in a comprehension"),
                ));
            }
        }
    }
}

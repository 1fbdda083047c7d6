//! Evaluator of a file's statements. Steps, values and calls are bounded, so every evaluation ends; it has no
//! access to anything outside the files. A failed expression becomes [`Value::Invalid`], so that each error
//! is reported once.

use crate::diagnostic::{nearest, Diagnostic, SourceLocation};
use crate::parse::MAX_DIAGNOSTICS;
use crate::syntax::*;
use crate::unit::{Quantity, Unit};
use crate::value::{Builtin, Value, BUILTINS};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Evaluation steps of a root file and all files that it loads.
pub const MAX_STEPS: u64 = 4_000_000;
/// Values created for a root file and all files that it loads: elements of lists and dicts, and strings per
/// 16 bytes.
pub const MAX_VALUES: u64 = 400_000;
/// Bound on nested calls.
pub const MAX_CALL_DEPTH: usize = 16;

const NESTED_TOO_DEEPLY: &str = "the value is nested too deeply";

/// A section that a file sets, not yet checked against the schema.
#[derive(Clone, Debug)]
pub struct SectionStatement {
    pub section_index: usize,
    pub location: SourceLocation,
    /// Present if the section has an entry per key.
    pub key: Option<(Rc<str>, SourceLocation)>,
    pub settings: Vec<(Identifier, Value, SourceLocation)>,
}

/// Global names of a file.
pub type Bindings = BTreeMap<Rc<str>, (Value, SourceLocation)>;

#[derive(Default)]
pub struct Evaluator {
    pub diagnostics: Vec<Diagnostic>,
    pub statements: Vec<SectionStatement>,
    /// Global names by file number.
    pub bindings: Vec<Bindings>,
    steps: u64,
    values: u64,
    calls: Vec<Rc<str>>,
    /// Files with syntax errors: a name that is missing there may be defined by a skipped statement.
    pub incomplete_files: BTreeSet<u32>,
    /// A bound was exceeded; nothing more is evaluated.
    is_exhausted: bool,
}

/// Name of each section in the schema's order, and whether its entries have keys.
pub type Sections = [(&'static str, bool)];

struct Frame<'a> {
    file: u32,
    sections: &'a Sections,
    /// Parameters, names assigned in a function, and names of comprehensions; the last one of a name is
    /// visible.
    locals: Vec<(Rc<str>, Value)>,
}

/// Evaluation failed, and the error is in the diagnostics.
struct Reported;
type Evaluated<T> = Result<T, Reported>;

impl Evaluator {
    pub fn report(&mut self, diagnostic: Diagnostic) {
        if self.diagnostics.len() < MAX_DIAGNOSTICS {
            self.diagnostics.push(diagnostic);
        }
    }

    fn fail<T>(&mut self, diagnostic: Diagnostic) -> Evaluated<T> {
        self.report(diagnostic);
        Err(Reported)
    }

    fn error<T>(&mut self, location: SourceLocation, message: impl Into<String>) -> Evaluated<T> {
        self.fail(Diagnostic::error(location, message))
    }

    pub fn is_stopped(&self) -> bool {
        self.is_exhausted
    }

    fn charge_steps(&mut self, location: SourceLocation, cost: u64) -> Evaluated<()> {
        self.steps = self.steps.saturating_add(cost);
        self.check_limit(
            location,
            self.steps > MAX_STEPS,
            "evaluation takes too many steps",
        )
    }

    fn charge_values(&mut self, location: SourceLocation, count: usize) -> Evaluated<()> {
        self.values = self.values.saturating_add(count as u64);
        self.check_limit(
            location,
            self.values > MAX_VALUES,
            "evaluation creates too many values",
        )
    }

    fn check_limit(&mut self, location: SourceLocation, is_exceeded: bool, message: &str) -> Evaluated<()> {
        if self.is_exhausted {
            return Err(Reported);
        }
        if is_exceeded {
            self.is_exhausted = true;
            return self.error(location, message);
        }
        Ok(())
    }

    /// Runs a statement at the top level of a file; the caller handles loads.
    pub fn run_statement(&mut self, file: u32, sections: &Sections, stmt: &Stmt) {
        let locals = Vec::new();
        let mut frame = Frame {
            file,
            sections,
            locals,
        };
        match stmt {
            Stmt::Assign { to, value } => {
                let value = self.evaluate_or_invalid(&mut frame, value);
                self.bind_global(file, sections, to, value);
            }
            Stmt::Def(def) => {
                let mut seen_names: Vec<&str> = Vec::new();
                for (param, _) in &def.params {
                    if seen_names.contains(&&*param.name) {
                        self.report(Diagnostic::error(
                            param.location,
                            format!("duplicate parameter '{}'", param.name),
                        ));
                    }
                    seen_names.push(&param.name);
                }
                self.bind_global(file, sections, &def.name, Value::Def(def.clone(), file));
            }
            Stmt::Expr(expr) => {
                let is_call = matches!(expr.kind, ExprKind::Call { .. } | ExprKind::Comprehension { .. });
                let value = self.evaluate_or_invalid(&mut frame, expr);
                if !is_call && !value.is_invalid() {
                    self.report(
                        Diagnostic::error(expr.location, "unused value").with_help("assign it to a name"),
                    );
                }
            }
            Stmt::Load { .. } | Stmt::Return { .. } => {}
        }
    }

    pub fn bind_global(&mut self, file: u32, sections: &Sections, to: &Identifier, value: Value) {
        let builtin = BUILTINS.iter().any(|(name, _)| *name == &*to.name);
        if builtin || sections.iter().any(|(name, _)| *name == &*to.name) {
            return self.report(Diagnostic::error(
                to.location,
                format!("'{}' is a reserved name", to.name),
            ));
        }
        let names = &mut self.bindings[file as usize];
        if let Some((_, first_location)) = names.get(&to.name) {
            let diagnostic = Diagnostic::error(to.location, format!("'{}' is already defined", to.name));
            let first_location = *first_location;
            return self.report(diagnostic.with_related(first_location, "first defined here"));
        }
        names.insert(to.name.clone(), (value, to.location));
    }

    fn evaluate_or_invalid(&mut self, frame: &mut Frame, expr: &Expr) -> Value {
        self.evaluate(frame, expr).unwrap_or(Value::Invalid)
    }

    fn evaluate(&mut self, frame: &mut Frame, expr: &Expr) -> Evaluated<Value> {
        self.charge_steps(expr.location, 1)?;
        let location = expr.location;
        match &expr.kind {
            ExprKind::Name(name) => self.look_up(frame, name, location),
            ExprKind::Quantity(q) => Ok(Value::Quantity(*q)),
            ExprKind::String(text) => Ok(Value::String(text.clone())),
            ExprKind::Bool(is_true) => Ok(Value::Bool(*is_true)),
            ExprKind::None => Ok(Value::None),
            ExprKind::List(all) => {
                self.charge_values(location, all.len())?;
                let all = all.iter().map(|e| self.evaluate_or_invalid(frame, e)).collect();
                self.make_list(all, location)
            }
            ExprKind::Dict(pairs) => {
                let mut dict = DictBuilder::default();
                for (key, value) in pairs {
                    let key_location = key.location;
                    let key = self.evaluate(frame, key)?;
                    let value = self.evaluate_or_invalid(frame, value);
                    self.insert_entry(&mut dict, key, value, key_location)?;
                }
                self.make_dict(dict, location)
            }
            ExprKind::Comprehension { body, clauses } => {
                let depth = frame.locals.len();
                let mut result = ComprehensionResult::default();
                let outcome = self.run_clauses(frame, body, clauses, &mut result);
                frame.locals.truncate(depth);
                outcome?;
                match body.1 {
                    Some(_) => self.make_dict(result.dict, location),
                    None => self.make_list(result.list, location),
                }
            }
            ExprKind::Call { callee, arguments } => self.call(frame, callee, arguments, location),
            ExprKind::Index(operands) => {
                let container = self.evaluate(frame, &operands.0)?;
                let index = self.evaluate(frame, &operands.1)?;
                self.evaluate_index(container, index, operands.1.location)
            }
            ExprKind::Not(inner) => {
                let is_true = self.evaluate_bool(frame, inner)?;
                Ok(Value::Bool(!is_true))
            }
            ExprKind::Negate(inner) => match self.evaluate(frame, inner)? {
                Value::Quantity(q) => match q.amount.checked_neg() {
                    Some(amount) => Ok(Value::Quantity(Quantity { amount, ..q })),
                    None => self.error(location, "arithmetic overflow"),
                },
                Value::Invalid => Err(Reported),
                other => self.error(inner.location, format!("cannot negate {}", other.type_name())),
            },
            ExprKind::BinaryChain(first, rest) => self.evaluate_chain(frame, first, rest),
            ExprKind::If(parts) => {
                let (condition, if_true, if_false) = &**parts;
                let is_true = self.evaluate_bool(frame, condition)?;
                self.evaluate(frame, if is_true { if_true } else { if_false })
            }
        }
    }

    fn look_up(&mut self, frame: &Frame, name: &Rc<str>, location: SourceLocation) -> Evaluated<Value> {
        let local = frame.locals.iter().rev().find(|(n, _)| n == name);
        let globals = &self.bindings[frame.file as usize];
        let found = local
            .map(|(_, v)| v)
            .or_else(|| globals.get(name).map(|(v, _)| v));
        if let Some(value) = found {
            return if value.is_invalid() {
                Err(Reported)
            } else {
                Ok(value.clone())
            };
        }
        if let Some((_, builtin)) = BUILTINS.iter().find(|(n, _)| *n == &**name) {
            return Ok(Value::Builtin(*builtin));
        }
        if let Some(section) = frame.sections.iter().position(|(n, _)| *n == &**name) {
            return Ok(Value::Section(section));
        }
        if self.incomplete_files.contains(&frame.file) {
            return Err(Reported);
        }
        let diagnostic = Diagnostic::error(location, format!("unknown name '{name}'"));
        let known = frame
            .locals
            .iter()
            .map(|(n, _)| &**n)
            .chain(globals.keys().map(|n| &**n));
        let builtin = BUILTINS
            .iter()
            .map(|(n, _)| *n)
            .chain(frame.sections.iter().map(|(n, _)| *n));
        let suggestion = nearest(name, known.chain(builtin)).map(|n| format!("did you mean '{n}'?"));
        self.fail(match suggestion {
            Some(help) => diagnostic.with_help(help),
            None => diagnostic,
        })
    }

    fn evaluate_bool(&mut self, frame: &mut Frame, expr: &Expr) -> Evaluated<bool> {
        match self.evaluate(frame, expr)? {
            Value::Bool(is_true) => Ok(is_true),
            Value::Invalid => Err(Reported),
            other => self.error(
                expr.location,
                format!("expected a boolean, found {}", other.type_name()),
            ),
        }
    }

    fn run_clauses(
        &mut self,
        frame: &mut Frame,
        body: &(Expr, Option<Expr>),
        clauses: &[Clause],
        result: &mut ComprehensionResult,
    ) -> Evaluated<()> {
        let Some((clause, rest)) = clauses.split_first() else {
            let first = self.evaluate(frame, &body.0)?;
            match &body.1 {
                Some(value) => {
                    let value = self.evaluate(frame, value)?;
                    self.insert_entry(&mut result.dict, first, value, body.0.location)?;
                }
                None => {
                    self.charge_values(body.0.location, 1)?;
                    result.list.push(first);
                }
            }
            return Ok(());
        };
        match clause {
            Clause::If(condition) => {
                if self.evaluate_bool(frame, condition)? {
                    self.run_clauses(frame, body, rest, result)?;
                }
                Ok(())
            }
            Clause::For(names, iterable) => {
                let list = match self.evaluate(frame, iterable)? {
                    Value::List(list, _) => list,
                    Value::Dict(..) => {
                        let diagnostic = Diagnostic::error(
                            iterable.location,
                            "cannot iterate over a dict; use keys(x) or items(x)",
                        );
                        return self.fail(diagnostic);
                    }
                    other => {
                        let message = format!("expected a list to iterate over, found {}", other.type_name());
                        return self.error(iterable.location, message);
                    }
                };
                for item in list.iter() {
                    let depth = frame.locals.len();
                    self.bind(frame, names, item, iterable.location)?;
                    let outcome = self.run_clauses(frame, body, rest, result);
                    frame.locals.truncate(depth);
                    outcome?;
                }
                Ok(())
            }
        }
    }

    fn bind(
        &mut self,
        frame: &mut Frame,
        names: &[Identifier],
        item: &Value,
        location: SourceLocation,
    ) -> Evaluated<()> {
        if let [name] = names {
            frame.locals.push((name.name.clone(), item.clone()));
            return Ok(());
        }
        match item {
            Value::List(elements, _) if elements.len() == names.len() => {
                let pairs = names.iter().zip(elements.iter());
                frame
                    .locals
                    .extend(pairs.map(|(n, v)| (n.name.clone(), v.clone())));
                Ok(())
            }
            Value::Invalid => Err(Reported),
            other => {
                let count = names.len();
                self.error(
                    location,
                    format!(
                        "{count} names require lists of {count} values, found {}",
                        other.type_name()
                    ),
                )
            }
        }
    }

    fn insert_entry(
        &mut self,
        dict: &mut DictBuilder,
        key: Value,
        value: Value,
        location: SourceLocation,
    ) -> Evaluated<()> {
        self.charge_values(location, 2)?;
        let text = match &key {
            Value::String(text) => (0, text.to_string()),
            Value::Quantity(q) => (1 + q.unit as u8, q.amount.to_string()),
            Value::Invalid => return Err(Reported),
            other => {
                return self.error(
                    location,
                    format!(
                        "a dict key must be a string or a number, found {}",
                        other.type_name()
                    ),
                )
            }
        };
        if let Some(first_location) = dict.key_locations.insert(text, location) {
            let diagnostic = Diagnostic::error(location, "duplicate dict key");
            return self.fail(diagnostic.with_related(first_location, "first used here"));
        }
        dict.pairs.push((key, value));
        Ok(())
    }

    fn make_list(&mut self, all: Vec<Value>, location: SourceLocation) -> Evaluated<Value> {
        match Value::list(all) {
            Some(list) => Ok(list),
            None => self.error(location, NESTED_TOO_DEEPLY),
        }
    }

    fn make_dict(&mut self, result: DictBuilder, location: SourceLocation) -> Evaluated<Value> {
        match Value::dict(result.pairs) {
            Some(dict) => Ok(dict),
            None => self.error(location, NESTED_TOO_DEEPLY),
        }
    }

    fn evaluate_index(
        &mut self,
        container: Value,
        index: Value,
        location: SourceLocation,
    ) -> Evaluated<Value> {
        let found = match (&container, &index) {
            (Value::List(list, _), Value::Quantity(q)) if q.unit == Unit::Count => {
                let found = usize::try_from(q.amount).ok().and_then(|n| list.get(n));
                match found {
                    Some(value) => value.clone(),
                    None => {
                        let message = format!("index out of range: the list has {} values", list.len());
                        return self.error(location, message);
                    }
                }
            }
            (Value::Dict(dict, _), key) => {
                let mut cost = 0;
                let found = dict.iter().find(|(k, _)| k.equals(key, &mut cost) == Some(true));
                let found = found.map(|(_, value)| value.clone());
                self.charge_steps(location, cost)?;
                match found {
                    Some(value) => value,
                    None => return self.error(location, "the dict does not contain this key"),
                }
            }
            (Value::Invalid, _) | (_, Value::Invalid) => return Err(Reported),
            (container, index) => {
                return self.error(
                    location,
                    format!(
                        "{} cannot be indexed by {}",
                        container.type_name(),
                        index.type_name()
                    ),
                )
            }
        };
        if found.is_invalid() {
            return Err(Reported);
        }
        Ok(found)
    }

    fn evaluate_chain(
        &mut self,
        frame: &mut Frame,
        first: &Expr,
        rest: &[(Operator, Expr)],
    ) -> Evaluated<Value> {
        if let Some((Operator::And | Operator::Or, _)) = rest.first() {
            let mut is_true = self.evaluate_bool(frame, first)?;
            for (operator, operand) in rest {
                if is_true == (*operator == Operator::Or) {
                    break;
                }
                is_true = self.evaluate_bool(frame, operand)?;
            }
            return Ok(Value::Bool(is_true));
        }
        let mut left = self.evaluate(frame, first)?;
        let mut location = first.location;
        for (operator, operand) in rest {
            let right = self.evaluate(frame, operand)?;
            location = location.to(operand.location);
            left = self.apply_operator(*operator, left, right, location)?;
        }
        Ok(left)
    }

    fn apply_operator(
        &mut self,
        operator: Operator,
        left: Value,
        right: Value,
        location: SourceLocation,
    ) -> Evaluated<Value> {
        use Operator::*;
        self.charge_steps(location, 1)?;
        if left.is_invalid() || right.is_invalid() {
            return Err(Reported);
        }
        match operator {
            Equal | NotEqual => {
                let mut cost = 0;
                let are_equal = left.equals(&right, &mut cost);
                self.charge_steps(location, cost)?;
                match are_equal {
                    Some(are_equal) => Ok(Value::Bool(are_equal == (operator == Equal))),
                    None => self.type_mismatch("compared", &left, &right, location),
                }
            }
            In | NotIn => {
                let mut cost = 0;
                let found = match &right {
                    Value::List(all, _) => all.iter().any(|v| v.equals(&left, &mut cost) == Some(true)),
                    Value::Dict(all, _) => all.iter().any(|(k, _)| k.equals(&left, &mut cost) == Some(true)),
                    Value::String(text) => match &left {
                        Value::String(part) => text.contains(&**part),
                        _ => return self.type_mismatch("used with 'in'", &left, &right, location),
                    },
                    _ => return self.type_mismatch("used with 'in'", &left, &right, location),
                };
                self.charge_steps(location, cost)?;
                Ok(Value::Bool(found == (operator == In)))
            }
            Less | LessEqual | Greater | GreaterEqual => {
                let order = match (&left, &right) {
                    (Value::Quantity(a), Value::Quantity(b)) if a.unit == b.unit => a.amount.cmp(&b.amount),
                    (Value::String(a), Value::String(b)) => a.cmp(b),
                    _ => return self.type_mismatch("compared", &left, &right, location),
                };
                Ok(Value::Bool(match operator {
                    Less => order.is_lt(),
                    LessEqual => order.is_le(),
                    Greater => order.is_gt(),
                    _ => order.is_ge(),
                }))
            }
            _ => self.apply_arithmetic(operator, left, right, location),
        }
    }

    fn type_mismatch(
        &mut self,
        verb: &str,
        left: &Value,
        right: &Value,
        location: SourceLocation,
    ) -> Evaluated<Value> {
        let message = format!("{} and {} cannot be {verb}", left.type_name(), right.type_name());
        let diagnostic = Diagnostic::error(location, message);
        let units = [left, right].map(|v| match v {
            Value::Quantity(q) => Some(q.unit),
            _ => None,
        });
        self.fail(match units {
            [Some(Unit::Count), Some(other)] | [Some(other), Some(Unit::Count)] if other != Unit::Count => {
                diagnostic.with_help(format!("add a unit to the number, such as {}", other.example()))
            }
            _ => diagnostic,
        })
    }

    fn apply_arithmetic(
        &mut self,
        operator: Operator,
        left: Value,
        right: Value,
        location: SourceLocation,
    ) -> Evaluated<Value> {
        use Operator::*;
        let (a, b) = match (&left, &right) {
            (Value::String(a), Value::String(b)) if operator == Add => {
                self.charge_values(location, (a.len() + b.len()) / 16 + 1)?;
                return Ok(Value::String(Rc::from(format!("{a}{b}"))));
            }
            (Value::List(a, _), Value::List(b, _)) if operator == Add => {
                self.charge_values(location, a.len() + b.len())?;
                return self.make_list(a.iter().chain(b.iter()).cloned().collect(), location);
            }
            (Value::Quantity(a), Value::Quantity(b)) => (*a, *b),
            _ => {
                let verb = match operator {
                    Add => "added",
                    Subtract => "subtracted",
                    Multiply => "multiplied",
                    _ => "divided",
                };
                return self.type_mismatch(verb, &left, &right, location);
            }
        };
        let (x, y) = (i128::from(a.amount), i128::from(b.amount));
        let (unit, amount) = match (operator, a.unit, b.unit) {
            (Add, u, v) if u == v => (u, x + y),
            (Subtract, u, v) if u == v => (u, x - y),
            (Add, ..) => return self.type_mismatch("added", &left, &right, location),
            (Subtract, ..) => return self.type_mismatch("subtracted", &left, &right, location),
            (Multiply, u, Unit::Count) => (u, x * y),
            (Multiply, Unit::Count, v) => (v, x * y),
            (Multiply, Unit::Share, v) | (Multiply, v, Unit::Share) => (v, (x * y).div_euclid(1_000_000)),
            // A rate times a duration is a count.
            (Multiply, Unit::Rate, Unit::Duration) | (Multiply, Unit::Duration, Unit::Rate) => {
                (Unit::Count, (x * y).div_euclid(3_600_000_000_000))
            }
            (Multiply, ..) => return self.type_mismatch("multiplied", &left, &right, location),
            (Divide | Remainder, ..) if y == 0 => return self.error(location, "division by zero"),
            (Divide, u, v) if u == v => (Unit::Count, x.div_euclid(y)),
            (Divide, u, Unit::Count) => (u, x.div_euclid(y)),
            (Remainder, u, v) if u == v => (u, x.rem_euclid(y)),
            _ => return self.type_mismatch("divided", &left, &right, location),
        };
        match i64::try_from(amount) {
            Ok(amount) => Ok(Value::Quantity(Quantity { unit, amount })),
            Err(_) => self.error(location, "arithmetic overflow"),
        }
    }

    fn call(
        &mut self,
        frame: &mut Frame,
        callee: &Expr,
        arguments: &[Argument],
        location: SourceLocation,
    ) -> Evaluated<Value> {
        let callee_value = self.evaluate(frame, callee)?;
        let mut positional: Vec<(Value, SourceLocation)> = Vec::new();
        let mut named: Vec<(Identifier, Value, SourceLocation)> = Vec::new();
        for argument in arguments {
            let at = argument.value.location;
            match &argument.kind {
                ArgumentKind::Positional if !named.is_empty() => {
                    return self.error(at, "positional argument after a named one");
                }
                ArgumentKind::Positional => positional.push((self.evaluate(frame, &argument.value)?, at)),
                ArgumentKind::Named(name) => {
                    // Keeps evaluating, so that errors in the other settings of a section are reported too.
                    let value = self.evaluate_or_invalid(frame, &argument.value);
                    named.push((name.clone(), value, at));
                }
                ArgumentKind::Spread => match self.evaluate(frame, &argument.value)? {
                    Value::Dict(pairs, _) => {
                        for (key, value) in pairs.iter() {
                            let Value::String(key) = key else {
                                return self.error(
                                    at,
                                    format!("argument names must be strings, found {}", key.type_name()),
                                );
                            };
                            let name = Identifier {
                                name: key.clone(),
                                location: at,
                            };
                            named.push((name, value.clone(), at));
                        }
                    }
                    other => {
                        return self.error(at, format!("'**' requires a dict, found {}", other.type_name()))
                    }
                },
            }
        }
        for (n, (name, ..)) in named.iter().enumerate() {
            if let Some((first, ..)) = named[..n].iter().find(|(b, ..)| b.name == name.name) {
                let diagnostic =
                    Diagnostic::error(name.location, format!("duplicate argument '{}'", name.name));
                let first_location = first.location;
                return self.fail(diagnostic.with_related(first_location, "first given here"));
            }
        }
        match callee_value {
            Value::Section(section) => {
                self.add_section_statement(frame, section, positional, named, location)
            }
            Value::Builtin(builtin) => {
                if let Some((name, ..)) = named.first() {
                    let at = name.location;
                    return self.error(at, "built-in functions take no named arguments");
                }
                self.call_builtin(builtin, &positional, location)
            }
            Value::Def(def, file) => self.call_def(frame, &def, file, positional, named, location),
            other => self.error(callee.location, format!("{} cannot be called", other.type_name())),
        }
    }

    fn add_section_statement(
        &mut self,
        frame: &Frame,
        section_index: usize,
        positional: Vec<(Value, SourceLocation)>,
        settings: Vec<(Identifier, Value, SourceLocation)>,
        location: SourceLocation,
    ) -> Evaluated<Value> {
        let (name, is_keyed) = frame.sections[section_index];
        let key = match (positional.as_slice(), is_keyed) {
            ([], false) => None,
            ([(Value::String(key), at)], true) => Some((key.clone(), *at)),
            ([], true) => {
                let diagnostic = Diagnostic::error(
                    location,
                    format!("'{name}' requires a name as its first argument"),
                );
                return self.fail(diagnostic.with_help(format!("for example {name}(\"...\", ...)")));
            }
            ([(other, at), ..], true) if positional.len() == 1 => {
                let (message, at) = (
                    format!("the name must be a string, found {}", other.type_name()),
                    *at,
                );
                return self.error(at, message);
            }
            ([(_, at), ..], _) => {
                let at = positional
                    .get(1)
                    .map_or(*at, |(_, second)| if is_keyed { *second } else { *at });
                let diagnostic =
                    Diagnostic::error(at, format!("'{name}' takes its settings as named arguments"));
                return self.fail(diagnostic.with_help("write 'setting = value'"));
            }
        };
        self.charge_values(location, settings.len() + 1)?;
        self.statements.push(SectionStatement {
            section_index,
            location,
            key,
            settings,
        });
        Ok(Value::None)
    }

    fn call_def(
        &mut self,
        frame: &Frame,
        def: &Rc<Def>,
        file: u32,
        positional: Vec<(Value, SourceLocation)>,
        named: Vec<(Identifier, Value, SourceLocation)>,
        location: SourceLocation,
    ) -> Evaluated<Value> {
        let name = &def.name.name;
        if self.calls.contains(name) {
            let diagnostic = Diagnostic::error(location, format!("recursive call of '{name}'"));
            return self.fail(diagnostic.with_related(def.name.location, "defined here"));
        }
        if self.calls.len() >= MAX_CALL_DEPTH {
            return self.error(location, format!("more than {MAX_CALL_DEPTH} nested calls"));
        }
        if positional.len() > def.params.len() {
            let diagnostic = Diagnostic::error(
                location,
                format!("'{name}' takes at most {} arguments", def.params.len()),
            );
            return self.fail(diagnostic.with_related(def.name.location, "defined here"));
        }
        if let Some((unknown, ..)) = named
            .iter()
            .find(|(n, ..)| def.params.iter().all(|(p, _)| p.name != n.name))
        {
            let diagnostic = Diagnostic::error(
                unknown.location,
                format!("'{name}' has no parameter '{}'", unknown.name),
            );
            let suggestion = nearest(&unknown.name, def.params.iter().map(|(p, _)| &*p.name));
            let help = suggestion.map(|n| format!("did you mean '{n}'?"));
            return self.fail(Diagnostic { help, ..diagnostic });
        }
        let locals = Vec::new();
        let mut inner = Frame {
            file,
            sections: frame.sections,
            locals,
        };
        for (n, (param, default)) in def.params.iter().enumerate() {
            let argument = named.iter().find(|(name, ..)| name.name == param.name);
            let value = match (positional.get(n), argument, default) {
                (Some(_), Some((duplicate, ..)), _) => {
                    let at = duplicate.location;
                    return self.error(at, format!("duplicate argument '{}'", param.name));
                }
                (Some((value, _)), ..) => value.clone(),
                (_, Some((_, value, _)), _) => value.clone(),
                (_, _, Some(default)) => self.evaluate(&mut inner, default)?,
                _ => {
                    let diagnostic = Diagnostic::error(
                        location,
                        format!("'{name}' requires the argument '{}'", param.name),
                    );
                    return self
                        .fail(diagnostic.with_related(param.location, "this parameter has no default"));
                }
            };
            inner.locals.push((param.name.clone(), value));
        }
        self.calls.push(name.clone());
        let outcome = self.run_body(&mut inner, def);
        self.calls.pop();
        outcome
    }

    fn run_body(&mut self, frame: &mut Frame, def: &Def) -> Evaluated<Value> {
        for stmt in &def.body {
            match stmt {
                Stmt::Assign { to, value } => {
                    let value = self.evaluate(frame, value)?;
                    frame.locals.push((to.name.clone(), value));
                }
                Stmt::Return { value } => return self.evaluate(frame, value),
                Stmt::Expr(expr) => drop(self.evaluate(frame, expr)?),
                Stmt::Load { .. } | Stmt::Def(_) => {}
            }
        }
        Ok(Value::None)
    }

    fn call_builtin(
        &mut self,
        builtin: Builtin,
        arguments: &[(Value, SourceLocation)],
        location: SourceLocation,
    ) -> Evaluated<Value> {
        let count = |n: usize| Value::Quantity(Quantity::new(Unit::Count, n as i64));
        let values: Vec<&Value> = arguments.iter().map(|(v, _)| v).collect();
        if values.iter().any(|v| v.is_invalid()) {
            return Err(Reported);
        }
        match (builtin, values.as_slice()) {
            (Builtin::Len, [Value::List(list, _)]) => Ok(count(list.len())),
            (Builtin::Len, [Value::Dict(dict, _)]) => Ok(count(dict.len())),
            (Builtin::Len, [Value::String(text)]) => Ok(count(text.chars().count())),
            (Builtin::Range, [Value::Quantity(q)]) if q.unit == Unit::Count => {
                let length = q.amount.max(0) as usize;
                self.charge_values(location, length)?;
                self.make_list((0..length).map(count).collect(), location)
            }
            (Builtin::Str, [value]) => match value {
                Value::String(_) => Ok((*value).clone()),
                Value::Quantity(q) => Ok(Value::String(Rc::from(q.to_string()))),
                Value::Bool(true) => Ok(Value::String(Rc::from("True"))),
                Value::Bool(false) => Ok(Value::String(Rc::from("False"))),
                other => self.error(
                    location,
                    format!("{} cannot be converted to a string", other.type_name()),
                ),
            },
            (Builtin::Min | Builtin::Max, [Value::List(list, _)]) if !list.is_empty() => {
                let sorted = self.sorted(list, location)?;
                let index = if builtin == Builtin::Min {
                    0
                } else {
                    sorted.len() - 1
                };
                Ok(sorted[index].clone())
            }
            (Builtin::Min | Builtin::Max, [_, _, ..]) => {
                let all: Vec<Value> = values.iter().map(|v| (*v).clone()).collect();
                let sorted = self.sorted(&all, location)?;
                let index = if builtin == Builtin::Min {
                    0
                } else {
                    sorted.len() - 1
                };
                Ok(sorted[index].clone())
            }
            (Builtin::Sorted, [Value::List(list, _)]) => {
                self.charge_values(location, list.len())?;
                let sorted = self.sorted(list, location)?;
                self.make_list(sorted, location)
            }
            (Builtin::Keys, [Value::Dict(dict, _)]) => {
                self.charge_values(location, dict.len())?;
                self.make_list(dict.iter().map(|(k, _)| k.clone()).collect(), location)
            }
            (Builtin::Items, [Value::Dict(dict, _)]) => {
                self.charge_values(location, dict.len() * 3)?;
                let mut all = Vec::new();
                for (key, value) in dict.iter() {
                    all.push(self.make_list(vec![key.clone(), value.clone()], location)?);
                }
                self.make_list(all, location)
            }
            (Builtin::Fail, [Value::String(text)]) => self.error(location, text.to_string()),
            _ => {
                let name = BUILTINS
                    .iter()
                    .find(|(_, o)| *o == builtin)
                    .map_or("", |(n, _)| *n);
                let found: Vec<_> = values.iter().map(|v| v.type_name()).collect();
                let found = if found.is_empty() {
                    "no arguments".to_owned()
                } else {
                    found.join(", ")
                };
                self.error(location, format!("'{name}' does not accept {found}"))
            }
        }
    }

    fn sorted(&mut self, list: &[Value], location: SourceLocation) -> Evaluated<Vec<Value>> {
        self.charge_steps(location, list.len() as u64 * 8)?;
        for pair in list.windows(2) {
            let is_comparable = match (&pair[0], &pair[1]) {
                (Value::Quantity(a), Value::Quantity(b)) => a.unit == b.unit,
                (Value::String(_), Value::String(_)) => true,
                (Value::Invalid, _) | (_, Value::Invalid) => return Err(Reported),
                _ => false,
            };
            if !is_comparable {
                self.type_mismatch("sorted together", &pair[0], &pair[1], location)?;
            }
        }
        if let [Value::List(..) | Value::Dict(..) | Value::None | Value::Bool(_)] = list {
            return self.error(location, "only strings and numbers can be sorted");
        }
        let mut sorted = list.to_vec();
        sorted.sort_by(|a, b| match (a, b) {
            (Value::Quantity(a), Value::Quantity(b)) => a.amount.cmp(&b.amount),
            (Value::String(a), Value::String(b)) => a.cmp(b),
            _ => std::cmp::Ordering::Equal,
        });
        Ok(sorted)
    }
}

#[derive(Default)]
struct DictBuilder {
    pairs: Vec<(Value, Value)>,
    key_locations: BTreeMap<(u8, String), SourceLocation>,
}

#[derive(Default)]
struct ComprehensionResult {
    list: Vec<Value>,
    dict: DictBuilder,
}

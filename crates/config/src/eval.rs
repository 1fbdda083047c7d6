//! Runs a file's statements. Always comes to an end: steps, values and calls are bounded, and nothing outside the
//! files is asked. A faulty value stands for itself from then on, so that each fault is told once.

use crate::diagnostic::{nearest, Diagnostic, SourceLocation};
use crate::parse::MAX_DIAGNOSTICS;
use crate::syntax::*;
use crate::unit::{Quantity, Unit};
use crate::value::{Own, Value, OWN};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Steps of a whole reading, all files together.
pub const MOST_STEPS: u64 = 4_000_000;
/// Elements of lists and dicts, and texts by sixteen bytes, made in a whole reading.
pub const MOST_VALUES: u64 = 400_000;
/// Calls within one another.
pub const MOST_CALLS: usize = 16;

const TOO_DEEP: &str = "the value nests too deeply";

/// A section of the settings that a file states.
#[derive(Clone, Debug)]
pub struct SectionStatement {
    pub section_index: usize,
    pub location: SourceLocation,
    /// The key of a section that has one for each name.
    pub key: Option<(Rc<str>, SourceLocation)>,
    pub settings: Vec<(Named, Value, SourceLocation)>,
}

/// The names of a file's top.
pub type Names = BTreeMap<Rc<str>, (Value, SourceLocation)>;

#[derive(Default)]
pub struct Run {
    pub diagnostics: Vec<Diagnostic>,
    pub stated: Vec<SectionStatement>,
    /// Of each file that has been run, by its number.
    pub names: Vec<Names>,
    steps: u64,
    values: u64,
    calls: Vec<Rc<str>>,
    /// Files of which a statement couldn't be read: a name that they lack may stand there.
    pub torn: BTreeSet<u32>,
    /// A bound was passed: all that follows is left out.
    stopped: bool,
}

/// What the sections are called, by their place in the registry; those that want a key.
pub type Sections = [(&'static str, bool)];

struct Frame<'a> {
    file: u32,
    sections: &'a Sections,
    /// Parameters, names set in a def, and names of comprehensions; the last one of a name counts.
    locals: Vec<(Rc<str>, Value)>,
}

/// A report is made, here or before.
struct Faulty;
type Done<T> = Result<T, Faulty>;

impl Run {
    pub fn report(&mut self, diagnostic: Diagnostic) {
        if self.diagnostics.len() < MAX_DIAGNOSTICS {
            self.diagnostics.push(diagnostic);
        }
    }

    fn fault<T>(&mut self, diagnostic: Diagnostic) -> Done<T> {
        self.report(diagnostic);
        Err(Faulty)
    }

    fn wrong<T>(&mut self, location: SourceLocation, message: impl Into<String>) -> Done<T> {
        self.fault(Diagnostic::error(location, message))
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    fn step(&mut self, location: SourceLocation, cost: u64) -> Done<()> {
        self.steps = self.steps.saturating_add(cost);
        self.within(location, self.steps > MOST_STEPS, "takes too many steps")
    }

    fn made(&mut self, location: SourceLocation, count: usize) -> Done<()> {
        self.values = self.values.saturating_add(count as u64);
        self.within(location, self.values > MOST_VALUES, "makes too many values")
    }

    fn within(&mut self, location: SourceLocation, passed: bool, message: &str) -> Done<()> {
        if self.stopped {
            return Err(Faulty);
        }
        if passed {
            self.stopped = true;
            return self.wrong(location, message);
        }
        Ok(())
    }

    /// Runs one statement of a file's top; loads are the caller's.
    pub fn top(&mut self, file: u32, sections: &Sections, stmt: &Stmt) {
        let locals = Vec::new();
        let mut frame = Frame {
            file,
            sections,
            locals,
        };
        match stmt {
            Stmt::Assign { to, value } => {
                let value = self.value_or_broken(&mut frame, value);
                self.set_top(file, sections, to, value);
            }
            Stmt::Def(def) => {
                let mut seen: Vec<&str> = Vec::new();
                for (param, _) in &def.params {
                    if seen.contains(&&*param.name) {
                        self.report(Diagnostic::error(
                            param.location,
                            format!("a second parameter '{}'", param.name),
                        ));
                    }
                    seen.push(&param.name);
                }
                self.set_top(file, sections, &def.name, Value::Def(def.clone(), file));
            }
            Stmt::Expr(expr) => {
                let is_call = matches!(expr.kind, Kind::Call { .. } | Kind::Comprehension { .. });
                let value = self.value_or_broken(&mut frame, expr);
                if !is_call && !value.is_broken() {
                    self.report(
                        Diagnostic::error(expr.location, "this value goes nowhere")
                            .with_help("set a name to it"),
                    );
                }
            }
            Stmt::Load { .. } | Stmt::Return { .. } => {}
        }
    }

    pub fn set_top(&mut self, file: u32, sections: &Sections, to: &Named, value: Value) {
        let own = OWN.iter().any(|(name, _)| *name == &*to.name);
        if own || sections.iter().any(|(name, _)| *name == &*to.name) {
            return self.report(Diagnostic::error(
                to.location,
                format!("'{}' is a name of the language", to.name),
            ));
        }
        let names = &mut self.names[file as usize];
        if let Some((_, before)) = names.get(&to.name) {
            let diagnostic = Diagnostic::error(to.location, format!("'{}' is set a second time", to.name));
            let before = *before;
            return self.report(diagnostic.with_related(before, "first set here"));
        }
        names.insert(to.name.clone(), (value, to.location));
    }

    fn value_or_broken(&mut self, frame: &mut Frame, expr: &Expr) -> Value {
        self.value(frame, expr).unwrap_or(Value::Broken)
    }

    fn value(&mut self, frame: &mut Frame, expr: &Expr) -> Done<Value> {
        self.step(expr.location, 1)?;
        let location = expr.location;
        match &expr.kind {
            Kind::Name(name) => self.look_up(frame, name, location),
            Kind::Quantity(q) => Ok(Value::Quantity(*q)),
            Kind::Text(text) => Ok(Value::Text(text.clone())),
            Kind::Bool(truth) => Ok(Value::Bool(*truth)),
            Kind::None => Ok(Value::None),
            Kind::List(all) => {
                self.made(location, all.len())?;
                let all = all.iter().map(|e| self.value_or_broken(frame, e)).collect();
                self.list(all, location)
            }
            Kind::Dict(pairs) => {
                let mut dict = DictMade::default();
                for (key, value) in pairs {
                    let at = key.location;
                    let key = self.value(frame, key)?;
                    let value = self.value_or_broken(frame, value);
                    self.put(&mut dict, key, value, at)?;
                }
                self.dict(dict, location)
            }
            Kind::Comprehension { body, clauses } => {
                let depth = frame.locals.len();
                let mut made = Made::default();
                let done = self.clauses(frame, body, clauses, &mut made);
                frame.locals.truncate(depth);
                done?;
                match body.1 {
                    Some(_) => self.dict(made.dict, location),
                    None => self.list(made.list, location),
                }
            }
            Kind::Call { callee, arguments } => self.call(frame, callee, arguments, location),
            Kind::Index(both) => {
                let of = self.value(frame, &both.0)?;
                let at = self.value(frame, &both.1)?;
                self.index(of, at, both.1.location)
            }
            Kind::Not(inner) => {
                let truth = self.truth(frame, inner)?;
                Ok(Value::Bool(!truth))
            }
            Kind::Minus(inner) => match self.value(frame, inner)? {
                Value::Quantity(q) => match q.amount.checked_neg() {
                    Some(amount) => Ok(Value::Quantity(Quantity { amount, ..q })),
                    None => self.wrong(location, "the result is too large"),
                },
                Value::Broken => Err(Faulty),
                other => self.wrong(inner.location, format!("{} has no negative", other.name())),
            },
            Kind::Chain(first, rest) => self.chain(frame, first, rest),
            Kind::If(parts) => {
                let (condition, yes, no) = &**parts;
                let truth = self.truth(frame, condition)?;
                self.value(frame, if truth { yes } else { no })
            }
        }
    }

    fn look_up(&mut self, frame: &Frame, name: &Rc<str>, location: SourceLocation) -> Done<Value> {
        let local = frame.locals.iter().rev().find(|(n, _)| n == name);
        let top = &self.names[frame.file as usize];
        let found = local.map(|(_, v)| v).or_else(|| top.get(name).map(|(v, _)| v));
        if let Some(value) = found {
            return if value.is_broken() {
                Err(Faulty)
            } else {
                Ok(value.clone())
            };
        }
        if let Some((_, own)) = OWN.iter().find(|(n, _)| *n == &**name) {
            return Ok(Value::Own(*own));
        }
        if let Some(section) = frame.sections.iter().position(|(n, _)| *n == &**name) {
            return Ok(Value::Section(section));
        }
        if self.torn.contains(&frame.file) {
            return Err(Faulty);
        }
        let diagnostic = Diagnostic::error(location, format!("nothing is called '{name}' here"));
        let known = frame
            .locals
            .iter()
            .map(|(n, _)| &**n)
            .chain(top.keys().map(|n| &**n));
        let own = OWN
            .iter()
            .map(|(n, _)| *n)
            .chain(frame.sections.iter().map(|(n, _)| *n));
        let near = nearest(name, known.chain(own)).map(|n| format!("'{n}' was meant?"));
        self.fault(match near {
            Some(help) => diagnostic.with_help(help),
            None => diagnostic,
        })
    }

    fn truth(&mut self, frame: &mut Frame, expr: &Expr) -> Done<bool> {
        match self.value(frame, expr)? {
            Value::Bool(truth) => Ok(truth),
            Value::Broken => Err(Faulty),
            other => self.wrong(
                expr.location,
                format!("a truth value is needed, this is {}", other.name()),
            ),
        }
    }

    fn clauses(
        &mut self,
        frame: &mut Frame,
        body: &(Expr, Option<Expr>),
        clauses: &[Clause],
        made: &mut Made,
    ) -> Done<()> {
        let Some((clause, rest)) = clauses.split_first() else {
            let first = self.value(frame, &body.0)?;
            match &body.1 {
                Some(value) => {
                    let value = self.value(frame, value)?;
                    self.put(&mut made.dict, first, value, body.0.location)?;
                }
                None => {
                    self.made(body.0.location, 1)?;
                    made.list.push(first);
                }
            }
            return Ok(());
        };
        match clause {
            Clause::If(condition) => {
                if self.truth(frame, condition)? {
                    self.clauses(frame, body, rest, made)?;
                }
                Ok(())
            }
            Clause::For(names, over) => {
                let list = match self.value(frame, over)? {
                    Value::List(list, _) => list,
                    Value::Dict(..) => {
                        let diagnostic =
                            Diagnostic::error(over.location, "a dict is gone over by keys(x) or items(x)");
                        return self.fault(diagnostic);
                    }
                    other => {
                        let message = format!("'for' goes over a list, this is {}", other.name());
                        return self.wrong(over.location, message);
                    }
                };
                for item in list.iter() {
                    let depth = frame.locals.len();
                    self.bind(frame, names, item, over.location)?;
                    let done = self.clauses(frame, body, rest, made);
                    frame.locals.truncate(depth);
                    done?;
                }
                Ok(())
            }
        }
    }

    fn bind(
        &mut self,
        frame: &mut Frame,
        names: &[Named],
        item: &Value,
        location: SourceLocation,
    ) -> Done<()> {
        if let [name] = names {
            frame.locals.push((name.name.clone(), item.clone()));
            return Ok(());
        }
        match item {
            Value::List(parts, _) if parts.len() == names.len() => {
                let pairs = names.iter().zip(parts.iter());
                frame
                    .locals
                    .extend(pairs.map(|(n, v)| (n.name.clone(), v.clone())));
                Ok(())
            }
            Value::Broken => Err(Faulty),
            other => {
                let count = names.len();
                self.wrong(
                    location,
                    format!("{count} names need lists of {count}, found {}", other.name()),
                )
            }
        }
    }

    fn put(&mut self, dict: &mut DictMade, key: Value, value: Value, location: SourceLocation) -> Done<()> {
        self.made(location, 2)?;
        let text = match &key {
            Value::Text(text) => (0, text.to_string()),
            Value::Quantity(q) => (1 + q.unit as u8, q.amount.to_string()),
            Value::Broken => return Err(Faulty),
            other => {
                return self.wrong(
                    location,
                    format!("a key is a text or a number, this is {}", other.name()),
                )
            }
        };
        if let Some(before) = dict.seen.insert(text, location) {
            let diagnostic = Diagnostic::error(location, "this key is in the dict already");
            return self.fault(diagnostic.with_related(before, "first here"));
        }
        dict.pairs.push((key, value));
        Ok(())
    }

    fn list(&mut self, all: Vec<Value>, location: SourceLocation) -> Done<Value> {
        match Value::list(all) {
            Some(list) => Ok(list),
            None => self.wrong(location, TOO_DEEP),
        }
    }

    fn dict(&mut self, made: DictMade, location: SourceLocation) -> Done<Value> {
        match Value::dict(made.pairs) {
            Some(dict) => Ok(dict),
            None => self.wrong(location, TOO_DEEP),
        }
    }

    fn index(&mut self, of: Value, at: Value, location: SourceLocation) -> Done<Value> {
        let found = match (&of, &at) {
            (Value::List(list, _), Value::Quantity(q)) if q.unit == Unit::Count => {
                let found = usize::try_from(q.amount).ok().and_then(|n| list.get(n));
                match found {
                    Some(value) => value.clone(),
                    None => {
                        let message = format!("the list has {} values, counted from 0", list.len());
                        return self.wrong(location, message);
                    }
                }
            }
            (Value::Dict(dict, _), key) => {
                let mut cost = 0;
                let found = dict.iter().find(|(k, _)| k.equals(key, &mut cost) == Some(true));
                let found = found.map(|(_, value)| value.clone());
                self.step(location, cost)?;
                match found {
                    Some(value) => value,
                    None => return self.wrong(location, "the dict has no such key"),
                }
            }
            (Value::Broken, _) | (_, Value::Broken) => return Err(Faulty),
            (of, at) => {
                return self.wrong(
                    location,
                    format!("{} can't be asked for {}", of.name(), at.name()),
                )
            }
        };
        if found.is_broken() {
            return Err(Faulty);
        }
        Ok(found)
    }

    fn chain(&mut self, frame: &mut Frame, first: &Expr, rest: &[(Operator, Expr)]) -> Done<Value> {
        if let Some((Operator::And | Operator::Or, _)) = rest.first() {
            let mut truth = self.truth(frame, first)?;
            for (operator, operand) in rest {
                if truth == (*operator == Operator::Or) {
                    break;
                }
                truth = self.truth(frame, operand)?;
            }
            return Ok(Value::Bool(truth));
        }
        let mut left = self.value(frame, first)?;
        let mut location = first.location;
        for (operator, operand) in rest {
            let right = self.value(frame, operand)?;
            location = location.to(operand.location);
            left = self.apply(*operator, left, right, location)?;
        }
        Ok(left)
    }

    fn apply(
        &mut self,
        operator: Operator,
        left: Value,
        right: Value,
        location: SourceLocation,
    ) -> Done<Value> {
        use Operator::*;
        self.step(location, 1)?;
        if left.is_broken() || right.is_broken() {
            return Err(Faulty);
        }
        match operator {
            Equal | Unequal => {
                let mut cost = 0;
                let same = left.equals(&right, &mut cost);
                self.step(location, cost)?;
                match same {
                    Some(same) => Ok(Value::Bool(same == (operator == Equal))),
                    None => self.unlike("compared", &left, &right, location),
                }
            }
            In | NotIn => {
                let mut cost = 0;
                let found = match &right {
                    Value::List(all, _) => all.iter().any(|v| v.equals(&left, &mut cost) == Some(true)),
                    Value::Dict(all, _) => all.iter().any(|(k, _)| k.equals(&left, &mut cost) == Some(true)),
                    Value::Text(text) => match &left {
                        Value::Text(part) => text.contains(&**part),
                        _ => return self.unlike("sought in one another", &left, &right, location),
                    },
                    _ => return self.unlike("sought in one another", &left, &right, location),
                };
                self.step(location, cost)?;
                Ok(Value::Bool(found == (operator == In)))
            }
            Less | LessEqual | Greater | GreaterEqual => {
                let order = match (&left, &right) {
                    (Value::Quantity(a), Value::Quantity(b)) if a.unit == b.unit => a.amount.cmp(&b.amount),
                    (Value::Text(a), Value::Text(b)) => a.cmp(b),
                    _ => return self.unlike("compared", &left, &right, location),
                };
                Ok(Value::Bool(match operator {
                    Less => order.is_lt(),
                    LessEqual => order.is_le(),
                    Greater => order.is_gt(),
                    _ => order.is_ge(),
                }))
            }
            _ => self.sum(operator, left, right, location),
        }
    }

    fn unlike(&mut self, verb: &str, left: &Value, right: &Value, location: SourceLocation) -> Done<Value> {
        let message = format!("{} and {} can't be {verb}", left.name(), right.name());
        let diagnostic = Diagnostic::error(location, message);
        let units = [left, right].map(|v| match v {
            Value::Quantity(q) => Some(q.unit),
            _ => None,
        });
        self.fault(match units {
            [Some(Unit::Count), Some(other)] | [Some(other), Some(Unit::Count)] if other != Unit::Count => {
                diagnostic.with_help(format!("give the number its unit, as in {}", other.example()))
            }
            _ => diagnostic,
        })
    }

    fn sum(
        &mut self,
        operator: Operator,
        left: Value,
        right: Value,
        location: SourceLocation,
    ) -> Done<Value> {
        use Operator::*;
        let (a, b) = match (&left, &right) {
            (Value::Text(a), Value::Text(b)) if operator == Plus => {
                self.made(location, (a.len() + b.len()) / 16 + 1)?;
                return Ok(Value::Text(Rc::from(format!("{a}{b}"))));
            }
            (Value::List(a, _), Value::List(b, _)) if operator == Plus => {
                self.made(location, a.len() + b.len())?;
                return self.list(a.iter().chain(b.iter()).cloned().collect(), location);
            }
            (Value::Quantity(a), Value::Quantity(b)) => (*a, *b),
            _ => {
                let verb = match operator {
                    Plus => "added",
                    Minus => "taken from one another",
                    Times => "multiplied",
                    _ => "divided",
                };
                return self.unlike(verb, &left, &right, location);
            }
        };
        let (x, y) = (i128::from(a.amount), i128::from(b.amount));
        let (unit, amount) = match (operator, a.unit, b.unit) {
            (Plus, u, v) if u == v => (u, x + y),
            (Minus, u, v) if u == v => (u, x - y),
            (Plus, ..) => return self.unlike("added", &left, &right, location),
            (Minus, ..) => return self.unlike("taken from one another", &left, &right, location),
            (Times, u, Unit::Count) => (u, x * y),
            (Times, Unit::Count, v) => (v, x * y),
            (Times, Unit::Share, v) | (Times, v, Unit::Share) => (v, (x * y).div_euclid(1_000_000)),
            // A rate for a while is a count.
            (Times, Unit::Rate, Unit::Duration) | (Times, Unit::Duration, Unit::Rate) => {
                (Unit::Count, (x * y).div_euclid(3_600_000_000_000))
            }
            (Times, ..) => return self.unlike("multiplied", &left, &right, location),
            (Over | Rest, ..) if y == 0 => return self.wrong(location, "divided by nothing"),
            (Over, u, v) if u == v => (Unit::Count, x.div_euclid(y)),
            (Over, u, Unit::Count) => (u, x.div_euclid(y)),
            (Rest, u, v) if u == v => (u, x.rem_euclid(y)),
            _ => return self.unlike("divided", &left, &right, location),
        };
        match i64::try_from(amount) {
            Ok(amount) => Ok(Value::Quantity(Quantity { unit, amount })),
            Err(_) => self.wrong(location, "the result is too large"),
        }
    }

    fn call(
        &mut self,
        frame: &mut Frame,
        callee: &Expr,
        arguments: &[Argument],
        location: SourceLocation,
    ) -> Done<Value> {
        let called = self.value(frame, callee)?;
        let mut plain: Vec<(Value, SourceLocation)> = Vec::new();
        let mut named: Vec<(Named, Value, SourceLocation)> = Vec::new();
        for argument in arguments {
            let at = argument.value.location;
            match &argument.form {
                Form::Plain if !named.is_empty() => {
                    return self.wrong(at, "values without a name come before those with one");
                }
                Form::Plain => plain.push((self.value(frame, &argument.value)?, at)),
                Form::Named(name) => {
                    // The other settings of a section are looked at even so.
                    let value = self.value_or_broken(frame, &argument.value);
                    named.push((name.clone(), value, at));
                }
                Form::Spread => match self.value(frame, &argument.value)? {
                    Value::Dict(pairs, _) => {
                        for (key, value) in pairs.iter() {
                            let Value::Text(key) = key else {
                                return self
                                    .wrong(at, format!("a name is a text, this key is {}", key.name()));
                            };
                            let name = Named {
                                name: key.clone(),
                                location: at,
                            };
                            named.push((name, value.clone(), at));
                        }
                    }
                    other => return self.wrong(at, format!("'**' takes a dict, this is {}", other.name())),
                },
            }
        }
        for (n, (name, ..)) in named.iter().enumerate() {
            if let Some((before, ..)) = named[..n].iter().find(|(b, ..)| b.name == name.name) {
                let diagnostic =
                    Diagnostic::error(name.location, format!("'{}' is given a second time", name.name));
                let before = before.location;
                return self.fault(diagnostic.with_related(before, "first given here"));
            }
        }
        match called {
            Value::Section(section) => self.state(frame, section, plain, named, location),
            Value::Own(own) => {
                if let Some((name, ..)) = named.first() {
                    let at = name.location;
                    return self.wrong(at, "the language's own functions take no names");
                }
                self.own(own, &plain, location)
            }
            Value::Def(def, file) => self.call_def(frame, &def, file, plain, named, location),
            other => self.wrong(callee.location, format!("{} can't be called", other.name())),
        }
    }

    fn state(
        &mut self,
        frame: &Frame,
        section_index: usize,
        plain: Vec<(Value, SourceLocation)>,
        settings: Vec<(Named, Value, SourceLocation)>,
        location: SourceLocation,
    ) -> Done<Value> {
        let (name, keyed) = frame.sections[section_index];
        let key = match (plain.as_slice(), keyed) {
            ([], false) => None,
            ([(Value::Text(key), at)], true) => Some((key.clone(), *at)),
            ([], true) => {
                let diagnostic = Diagnostic::error(location, format!("'{name}' needs a name first"));
                return self.fault(diagnostic.with_help(format!("as in {name}(\"...\", ...)")));
            }
            ([(other, at), ..], true) if plain.len() == 1 => {
                let (message, at) = (format!("the name is a text, this is {}", other.name()), *at);
                return self.wrong(at, message);
            }
            ([(_, at), ..], _) => {
                let at = plain
                    .get(1)
                    .map_or(*at, |(_, second)| if keyed { *second } else { *at });
                let diagnostic = Diagnostic::error(at, format!("'{name}' takes its settings by name"));
                return self.fault(diagnostic.with_help("write setting = value"));
            }
        };
        self.made(location, settings.len() + 1)?;
        self.stated.push(SectionStatement {
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
        plain: Vec<(Value, SourceLocation)>,
        named: Vec<(Named, Value, SourceLocation)>,
        location: SourceLocation,
    ) -> Done<Value> {
        let name = &def.name.name;
        if self.calls.contains(name) {
            let diagnostic = Diagnostic::error(location, format!("'{name}' calls itself"));
            return self.fault(diagnostic.with_related(def.name.location, "defined here"));
        }
        if self.calls.len() >= MOST_CALLS {
            return self.wrong(
                location,
                format!("more than {MOST_CALLS} calls within one another"),
            );
        }
        if plain.len() > def.params.len() {
            let diagnostic =
                Diagnostic::error(location, format!("'{name}' takes {} values", def.params.len()));
            return self.fault(diagnostic.with_related(def.name.location, "defined here"));
        }
        if let Some((unknown, ..)) = named
            .iter()
            .find(|(n, ..)| def.params.iter().all(|(p, _)| p.name != n.name))
        {
            let diagnostic =
                Diagnostic::error(unknown.location, format!("'{name}' takes no '{}'", unknown.name));
            let near = nearest(&unknown.name, def.params.iter().map(|(p, _)| &*p.name));
            let help = near.map(|n| format!("'{n}' was meant?"));
            return self.fault(Diagnostic { help, ..diagnostic });
        }
        let locals = Vec::new();
        let mut inner = Frame {
            file,
            sections: frame.sections,
            locals,
        };
        for (n, (param, default)) in def.params.iter().enumerate() {
            let given = named.iter().find(|(name, ..)| name.name == param.name);
            let value = match (plain.get(n), given, default) {
                (Some(_), Some((twice, ..)), _) => {
                    let at = twice.location;
                    return self.wrong(at, format!("'{}' is given a second time", param.name));
                }
                (Some((value, _)), ..) => value.clone(),
                (_, Some((_, value, _)), _) => value.clone(),
                (_, _, Some(default)) => self.value(&mut inner, default)?,
                _ => {
                    let diagnostic = Diagnostic::error(location, format!("'{name}' needs '{}'", param.name));
                    return self.fault(diagnostic.with_related(param.location, "it has no value of its own"));
                }
            };
            inner.locals.push((param.name.clone(), value));
        }
        self.calls.push(name.clone());
        let done = self.body(&mut inner, def);
        self.calls.pop();
        done
    }

    fn body(&mut self, frame: &mut Frame, def: &Def) -> Done<Value> {
        for stmt in &def.body {
            match stmt {
                Stmt::Assign { to, value } => {
                    let value = self.value(frame, value)?;
                    frame.locals.push((to.name.clone(), value));
                }
                Stmt::Return { value } => return self.value(frame, value),
                Stmt::Expr(expr) => drop(self.value(frame, expr)?),
                Stmt::Load { .. } | Stmt::Def(_) => {}
            }
        }
        Ok(Value::None)
    }

    fn own(&mut self, own: Own, given: &[(Value, SourceLocation)], location: SourceLocation) -> Done<Value> {
        let count = |n: usize| Value::Quantity(Quantity::new(Unit::Count, n as i64));
        let values: Vec<&Value> = given.iter().map(|(v, _)| v).collect();
        if values.iter().any(|v| v.is_broken()) {
            return Err(Faulty);
        }
        match (own, values.as_slice()) {
            (Own::Len, [Value::List(list, _)]) => Ok(count(list.len())),
            (Own::Len, [Value::Dict(dict, _)]) => Ok(count(dict.len())),
            (Own::Len, [Value::Text(text)]) => Ok(count(text.chars().count())),
            (Own::Range, [Value::Quantity(q)]) if q.unit == Unit::Count => {
                let most = q.amount.max(0) as usize;
                self.made(location, most)?;
                self.list((0..most).map(count).collect(), location)
            }
            (Own::Str, [value]) => match value {
                Value::Text(_) => Ok((*value).clone()),
                Value::Quantity(q) => Ok(Value::Text(Rc::from(q.to_string()))),
                Value::Bool(true) => Ok(Value::Text(Rc::from("True"))),
                Value::Bool(false) => Ok(Value::Text(Rc::from("False"))),
                other => self.wrong(location, format!("{} has no text", other.name())),
            },
            (Own::Min | Own::Max, [Value::List(list, _)]) if !list.is_empty() => {
                let sorted = self.sorted(list, location)?;
                let at = if own == Own::Min { 0 } else { sorted.len() - 1 };
                Ok(sorted[at].clone())
            }
            (Own::Min | Own::Max, [_, _, ..]) => {
                let all: Vec<Value> = values.iter().map(|v| (*v).clone()).collect();
                let sorted = self.sorted(&all, location)?;
                let at = if own == Own::Min { 0 } else { sorted.len() - 1 };
                Ok(sorted[at].clone())
            }
            (Own::Sorted, [Value::List(list, _)]) => {
                self.made(location, list.len())?;
                let sorted = self.sorted(list, location)?;
                self.list(sorted, location)
            }
            (Own::Keys, [Value::Dict(dict, _)]) => {
                self.made(location, dict.len())?;
                self.list(dict.iter().map(|(k, _)| k.clone()).collect(), location)
            }
            (Own::Items, [Value::Dict(dict, _)]) => {
                self.made(location, dict.len() * 3)?;
                let mut all = Vec::new();
                for (key, value) in dict.iter() {
                    all.push(self.list(vec![key.clone(), value.clone()], location)?);
                }
                self.list(all, location)
            }
            (Own::Fail, [Value::Text(text)]) => self.wrong(location, text.to_string()),
            _ => {
                let name = OWN.iter().find(|(_, o)| *o == own).map_or("", |(n, _)| *n);
                let found: Vec<_> = values.iter().map(|v| v.name()).collect();
                let found = if found.is_empty() {
                    "nothing".to_owned()
                } else {
                    found.join(", ")
                };
                self.wrong(location, format!("'{name}' can't take {found}"))
            }
        }
    }

    fn sorted(&mut self, list: &[Value], location: SourceLocation) -> Done<Vec<Value>> {
        self.step(location, list.len() as u64 * 8)?;
        for pair in list.windows(2) {
            let alike = match (&pair[0], &pair[1]) {
                (Value::Quantity(a), Value::Quantity(b)) => a.unit == b.unit,
                (Value::Text(_), Value::Text(_)) => true,
                (Value::Broken, _) | (_, Value::Broken) => return Err(Faulty),
                _ => false,
            };
            if !alike {
                self.unlike("put in order", &pair[0], &pair[1], location)?;
            }
        }
        if let [Value::List(..) | Value::Dict(..) | Value::None | Value::Bool(_)] = list {
            return self.wrong(location, "only texts and numbers have an order");
        }
        let mut sorted = list.to_vec();
        sorted.sort_by(|a, b| match (a, b) {
            (Value::Quantity(a), Value::Quantity(b)) => a.amount.cmp(&b.amount),
            (Value::Text(a), Value::Text(b)) => a.cmp(b),
            _ => std::cmp::Ordering::Equal,
        });
        Ok(sorted)
    }
}

#[derive(Default)]
struct DictMade {
    pairs: Vec<(Value, Value)>,
    seen: BTreeMap<(u8, String), SourceLocation>,
}

#[derive(Default)]
struct Made {
    list: Vec<Value>,
    dict: DictMade,
}

//! Values of expressions.

use crate::syntax::Def;
use crate::unit::Quantity;
use std::rc::Rc;

#[derive(Clone, Debug)]
pub enum Value {
    None,
    Bool(bool),
    Quantity(Quantity),
    String(Rc<str>),
    /// Elements and nesting depth, which is bounded because values are dropped recursively.
    List(Rc<Vec<Value>>, u8),
    /// Entries in source order, and nesting depth.
    Dict(Rc<Vec<(Value, Value)>>, u8),
    Def(Rc<Def>, u32),
    Builtin(Builtin),
    /// A section, by its index in the schema.
    Section(usize),
    /// An error was reported already; operations on it fail without a further diagnostic.
    Invalid,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Builtin {
    Len,
    Range,
    Str,
    Min,
    Max,
    Sorted,
    Keys,
    Items,
    Fail,
}

pub const BUILTINS: [(&str, Builtin); 9] = [
    ("len", Builtin::Len),
    ("range", Builtin::Range),
    ("str", Builtin::Str),
    ("min", Builtin::Min),
    ("max", Builtin::Max),
    ("sorted", Builtin::Sorted),
    ("keys", Builtin::Keys),
    ("items", Builtin::Items),
    ("fail", Builtin::Fail),
];

/// Bound on the nesting of lists and dicts.
pub const MAX_VALUE_DEPTH: u8 = 32;
/// Bound on the elements that one comparison visits.
const MAX_COMPARISON_STEPS: u64 = 10_000_000;

impl Value {
    fn depth(&self) -> u8 {
        match self {
            Value::List(_, depth) | Value::Dict(_, depth) => *depth,
            _ => 0,
        }
    }

    pub fn list(all: Vec<Value>) -> Option<Value> {
        let depth = 1 + all.iter().map(Value::depth).max().unwrap_or(0);
        (depth <= MAX_VALUE_DEPTH).then(|| Value::List(Rc::new(all), depth))
    }

    pub fn dict(all: Vec<(Value, Value)>) -> Option<Value> {
        let depth = 1 + all.iter().map(|(_, v)| v.depth()).max().unwrap_or(0);
        (depth <= MAX_VALUE_DEPTH).then(|| Value::Dict(Rc::new(all), depth))
    }

    /// Name of the type in diagnostics.
    pub fn type_name(&self) -> &'static str {
        match self {
            Value::None => "None",
            Value::Bool(_) => "a boolean",
            Value::Quantity(q) => q.unit.name(),
            Value::String(_) => "a string",
            Value::List(..) => "a list",
            Value::Dict(..) => "a dict",
            Value::Def(..) | Value::Builtin(_) => "a function",
            Value::Section(_) => "a section",
            Value::Invalid => "an invalid value",
        }
    }

    pub fn is_invalid(&self) -> bool {
        matches!(self, Value::Invalid)
    }

    /// Compares two values; `None` if their types can't be compared, or the bound on a comparison is reached.
    /// Adds the number of visited elements to `cost`.
    pub fn equals(&self, other: &Value, cost: &mut u64) -> Option<bool> {
        *cost += 1;
        // Shared sublists make the expanded size exponential in the nesting depth.
        if *cost > MAX_COMPARISON_STEPS {
            return None;
        }
        Some(match (self, other) {
            (Value::None, Value::None) => true,
            (Value::None, _) | (_, Value::None) => false,
            (Value::Bool(a), Value::Bool(b)) => a == b,
            (Value::String(a), Value::String(b)) => {
                *cost += a.len() as u64 / 16;
                a == b
            }
            (Value::Quantity(a), Value::Quantity(b)) if a.unit == b.unit => a.amount == b.amount,
            (Value::List(a, _), Value::List(b, _)) => {
                if a.len() != b.len() {
                    return Some(false);
                }
                for (a, b) in a.iter().zip(b.iter()) {
                    if !a.equals(b, cost)? {
                        return Some(false);
                    }
                }
                true
            }
            (Value::Dict(a, _), Value::Dict(b, _)) => {
                if a.len() != b.len() {
                    return Some(false);
                }
                for (key, value) in a.iter() {
                    let mut found = None;
                    for (k, v) in b.iter() {
                        if k.equals(key, cost) == Some(true) {
                            found = Some(v);
                        }
                    }
                    match found {
                        Some(v) if value.equals(v, cost)? => {}
                        _ => return Some(false),
                    }
                }
                true
            }
            _ => return None,
        })
    }
}

//! What expressions come to.

use crate::syntax::Def;
use crate::unit::Quantity;
use std::rc::Rc;

#[derive(Clone, Debug)]
pub enum Value {
    None,
    Bool(bool),
    Quantity(Quantity),
    Text(Rc<str>),
    /// With how deep it is: values are let go by recursion.
    List(Rc<Vec<Value>>, u8),
    /// In the order in which its keys were written; how deep, as above.
    Dict(Rc<Vec<(Value, Value)>>, u8),
    Def(Rc<Def>, u32),
    /// One of the language's own functions.
    Own(Own),
    /// A section of the settings, by its place in the registry.
    Section(usize),
    /// A fault was told already; what follows from it is not told again.
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Own {
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

pub const OWN: [(&str, Own); 9] = [
    ("len", Own::Len),
    ("range", Own::Range),
    ("str", Own::Str),
    ("min", Own::Min),
    ("max", Own::Max),
    ("sorted", Own::Sorted),
    ("keys", Own::Keys),
    ("items", Own::Items),
    ("fail", Own::Fail),
];

/// Values deeper than this are not made.
pub const DEEPEST_VALUE: u8 = 32;
/// A comparison that walks further finds no answer.
const MOST_COMPARED: u64 = 10_000_000;

impl Value {
    fn depth(&self) -> u8 {
        match self {
            Value::List(_, depth) | Value::Dict(_, depth) => *depth,
            _ => 0,
        }
    }

    pub fn list(all: Vec<Value>) -> Option<Value> {
        let depth = 1 + all.iter().map(Value::depth).max().unwrap_or(0);
        (depth <= DEEPEST_VALUE).then(|| Value::List(Rc::new(all), depth))
    }

    pub fn dict(all: Vec<(Value, Value)>) -> Option<Value> {
        let depth = 1 + all.iter().map(|(_, v)| v.depth()).max().unwrap_or(0);
        (depth <= DEEPEST_VALUE).then(|| Value::Dict(Rc::new(all), depth))
    }

    /// As messages call it.
    pub fn name(&self) -> &'static str {
        match self {
            Value::None => "None",
            Value::Bool(_) => "a truth value",
            Value::Quantity(q) => q.unit.name(),
            Value::Text(_) => "a text",
            Value::List(..) => "a list",
            Value::Dict(..) => "a dict",
            Value::Def(..) | Value::Own(_) => "a function",
            Value::Section(_) => "a section of the settings",
            Value::Broken => "nothing",
        }
    }

    pub fn is_broken(&self) -> bool {
        matches!(self, Value::Broken)
    }

    /// The same value; `None` where the two can't be compared. Walks both, and says by `cost` how far.
    pub fn equals(&self, other: &Value, cost: &mut u64) -> Option<bool> {
        *cost += 1;
        // Lists that hold one another twice over again and again are longer than they look.
        if *cost > MOST_COMPARED {
            return None;
        }
        Some(match (self, other) {
            (Value::None, Value::None) => true,
            (Value::None, _) | (_, Value::None) => false,
            (Value::Bool(a), Value::Bool(b)) => a == b,
            (Value::Text(a), Value::Text(b)) => {
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

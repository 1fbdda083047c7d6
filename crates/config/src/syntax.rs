//! What a file says, as a tree. Chains of operators are flat, so that no tree is deeper than the parser allows.

use crate::diagnostic::SourceLocation;
use crate::unit::Quantity;
use std::rc::Rc;

#[derive(Clone, Debug)]
pub struct Named {
    pub name: Rc<str>,
    pub location: SourceLocation,
}

#[derive(Clone, Debug)]
pub enum Stmt {
    Assign {
        to: Named,
        value: Expr,
    },
    Load {
        location: SourceLocation,
        file: Named,
        /// The name here, and its name there.
        names: Vec<(Named, Rc<str>)>,
    },
    Def(Rc<Def>),
    Return {
        value: Expr,
    },
    Expr(Expr),
}

#[derive(Clone, Debug)]
pub struct Def {
    pub name: Named,
    pub params: Vec<(Named, Option<Expr>)>,
    pub body: Vec<Stmt>,
}

#[derive(Clone, Debug)]
pub struct Expr {
    pub location: SourceLocation,
    pub kind: Kind,
}

#[derive(Clone, Debug)]
pub enum Kind {
    Name(Rc<str>),
    Quantity(Quantity),
    Text(Rc<str>),
    Bool(bool),
    None,
    List(Vec<Expr>),
    Dict(Vec<(Expr, Expr)>),
    /// A list, or a dict where the body has two parts.
    Comprehension {
        body: Box<(Expr, Option<Expr>)>,
        clauses: Vec<Clause>,
    },
    Call {
        callee: Box<Expr>,
        arguments: Vec<Argument>,
    },
    Index(Box<(Expr, Expr)>),
    Not(Box<Expr>),
    Minus(Box<Expr>),
    /// A first operand and those behind it, applied from the left.
    Chain(Box<Expr>, Vec<(Operator, Expr)>),
    /// Condition, value where it holds, value where it doesn't.
    If(Box<(Expr, Expr, Expr)>),
}

#[derive(Clone, Debug)]
pub enum Clause {
    For(Vec<Named>, Expr),
    If(Expr),
}

#[derive(Clone, Debug)]
pub struct Argument {
    pub form: Form,
    pub value: Expr,
}

#[derive(Clone, Debug)]
pub enum Form {
    Plain,
    Named(Named),
    Spread,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[rustfmt::skip]
pub enum Operator {
    Or, And, Equal, Unequal, Less, LessEqual, Greater, GreaterEqual, In, NotIn, Plus, Minus, Times, Over, Rest,
}

//! Syntax tree. Chains of binary operators are flat, so that the depth of a tree is bounded by the parser's
//! nesting.

use crate::diagnostic::SourceLocation;
use crate::unit::Quantity;
use std::rc::Rc;

#[derive(Clone, Debug)]
pub struct Identifier {
    pub name: Rc<str>,
    pub location: SourceLocation,
}

#[derive(Clone, Debug)]
pub enum Stmt {
    Assign {
        to: Identifier,
        value: Expr,
    },
    Load {
        location: SourceLocation,
        file: Identifier,
        /// The name in the loading file, and the name in the loaded one.
        names: Vec<(Identifier, Rc<str>)>,
    },
    Def(Rc<Def>),
    Return {
        value: Expr,
    },
    Expr(Expr),
}

#[derive(Clone, Debug)]
pub struct Def {
    pub name: Identifier,
    pub params: Vec<(Identifier, Option<Expr>)>,
    pub body: Vec<Stmt>,
}

#[derive(Clone, Debug)]
pub struct Expr {
    pub location: SourceLocation,
    pub kind: ExprKind,
}

#[derive(Clone, Debug)]
pub enum ExprKind {
    Name(Rc<str>),
    Quantity(Quantity),
    String(Rc<str>),
    Bool(bool),
    None,
    List(Vec<Expr>),
    Dict(Vec<(Expr, Expr)>),
    /// A list comprehension; a dict comprehension if the body has a value.
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
    Negate(Box<Expr>),
    /// The first operand, then operators with their right operands; left-associative.
    BinaryChain(Box<Expr>, Vec<(Operator, Expr)>),
    /// Condition, value if true, value if false.
    If(Box<(Expr, Expr, Expr)>),
}

#[derive(Clone, Debug)]
pub enum Clause {
    For(Vec<Identifier>, Expr),
    If(Expr),
}

#[derive(Clone, Debug)]
pub struct Argument {
    pub kind: ArgumentKind,
    pub value: Expr,
}

#[derive(Clone, Debug)]
pub enum ArgumentKind {
    Positional,
    Named(Identifier),
    Spread,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[rustfmt::skip]
pub enum Operator {
    Or, And, Equal, NotEqual, Less, LessEqual, Greater, GreaterEqual, In, NotIn,
    Add, Subtract, Multiply, Divide, Remainder,
}

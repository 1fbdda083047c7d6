//! The operators' language: files that state settings, checked before they serve.
//!
//! `load` reads files into a `meaning`, or into the `report`s of what is wrong; `registry` says what may be set;
//! `format` writes a file in the one form; `generations` decides which meaning is in force, `probation` whether a
//! change does harm, `shelf` what is kept of former ones. Only `load::Folder` and `store` touch files; `generation_writer` stores again what a failing disk didn't take.

pub mod diagnostic;
pub mod eval;
pub mod format;
pub mod fuzz_checks;
pub mod generation_files;
pub mod generation_writer;
pub mod generations;
pub mod lex;
pub mod load;
pub mod parse;
pub mod probation;
pub mod resolved;
pub mod schema;
pub mod service_schema;
pub mod store;
pub mod syntax;
pub mod unit;
pub mod value;

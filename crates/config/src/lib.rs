//! The operators' configuration language: files of settings that are checked before they are applied.
//!
//! `load` turns files into resolved settings or diagnostics. `schema` describes sections and settings, and
//! `service_schema` is the schema of the service. `format` is the formatter. `generations` decides which
//! settings are applied, `probation` whether a change is harmful, `generation_files` which stored generations
//! are kept. Only `load::FolderSource` and `store` access files; `generation_writer` retries storing on a
//! failing disk.

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

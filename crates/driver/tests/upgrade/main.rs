//! Upgrades of the running driver: handover to a successor, and successors that fail.

mod clients;
mod co_serving;
#[path = "../harness/mod.rs"]
mod harness;
mod learned_facts;
mod load;
mod reclaimed_clients;
mod requests;
mod upgrade_harness;

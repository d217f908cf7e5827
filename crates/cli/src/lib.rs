//! Command line of masticstair for operators and users.

pub mod admin;
pub mod bench;
pub mod commands;
pub mod demo;
pub mod explain;
pub mod operator;
pub mod options;
pub mod replay;
pub mod stand_ins;
pub mod trace;

use bpaf::{Parser, construct, long};
use masticstair_core::id::CommandId;
use masticstair_core::prelude::*;

/// What a command of an operator builds on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The revision in force that the operator saw; none to read it first.
    pub expect: Option<Revision>,
    /// The id of the command; none for a random one.
    pub command_id: Option<CommandId>,
}

pub(super) fn change() -> impl Parser<Change> {
    let expect = long("expect")
        .help("Revision that must be in force for the command to count [default: read it first]")
        .argument("REVISION")
        .optional();
    let command_id = long("command-id")
        .help("Id of the command; give that of a command whose answer was lost [default: random]")
        .argument("ID")
        .optional();
    construct!(Change { expect, command_id })
}

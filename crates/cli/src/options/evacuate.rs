//! Options of `masticstair evacuate`.

use bpaf::{Parser, construct, long, positional};
use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use masticstair_policy::evacuations::EvacuationAction;

use super::connection::connection;
use super::format::format;
use super::{Connection, Format};

/// What `masticstair evacuate` orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuateOptions {
    /// The way to the deployment.
    pub connection: Connection,
    /// How the outcome is printed.
    pub format: Format,
    /// What is to happen with the data centre.
    pub action: EvacuationAction,
    /// The revision of the evacuations that the operator saw; none to read it first.
    pub after: Option<EvacuationRevision>,
    /// The data centre.
    pub data_centre: DataCentreId,
}

pub(super) fn evacuate() -> impl Parser<EvacuateOptions> {
    let (connection, format) = (connection(), format());
    let action = long("end")
        .help("End the evacuation: endpoints there take work again")
        .flag(EvacuationAction::End, EvacuationAction::Begin);
    let after = long("after")
        .help("Revision of the evacuations that the order builds on [default: read it first]")
        .argument("REVISION")
        .optional();
    let data_centre = positional("DATA_CENTRE").help("Name of the data centre");
    construct!(EvacuateOptions { connection, format, action, after, data_centre })
        .to_options()
        .descr("Sends no more work to the endpoints of a data centre, until --end")
        .command("evacuate")
}

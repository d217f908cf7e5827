//! Options of `masticstair status`.

use bpaf::{Parser, construct};

use super::connection::connection;
use super::format::format;
use super::{Connection, Format};

/// What `masticstair status` shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusOptions {
    /// The way to the deployment.
    pub connection: Connection,
    /// How it is printed.
    pub format: Format,
}

pub(super) fn status() -> impl Parser<StatusOptions> {
    let (connection, format) = (connection(), format());
    construct!(StatusOptions { connection, format })
        .to_options()
        .descr("Shows hosts, voters, endpoints and what needs a look")
        .command("status")
}

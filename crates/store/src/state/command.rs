use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::bundle_history::BundleCommand;
use masticstair_policy::evacuations::EvacuationOrder;
use masticstair_policy::issuer::IssuerCommand;
use masticstair_policy::run_once::RunOnceCommand;

use super::codec::{self, CodecError};

/// A command of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Changes the table of run-once calls.
    RunOnce(RunOnceCommand),
    /// Changes the bundle history.
    Bundle(Box<BundleCommand>),
    /// Changes a lease of an order issuer.
    Issuer(IssuerCommand),
    /// Replaces the catalog, unless the current one has the same or a higher version.
    Catalog(CatalogDocument),
    /// Begins or ends the evacuation of a data centre.
    Evacuation(EvacuationOrder),
}

impl Command {
    /// Encodes the command as the payload of a log entry, with the format version first.
    pub fn encode(&self) -> Box<[u8]> {
        codec::encode(|w| match self {
            Self::RunOnce(cmd) => {
                w.byte(0);
                codec::run_once::put_command(w, cmd);
            }
            Self::Bundle(cmd) => {
                w.byte(1);
                codec::bundle::put_command(w, cmd);
            }
            Self::Issuer(cmd) => {
                w.byte(2);
                codec::issuer::put_command(w, cmd);
            }
            Self::Catalog(document) => {
                w.byte(3);
                codec::catalog::put_document(w, document);
            }
            Self::Evacuation(order) => {
                w.byte(4);
                codec::evacuation::put_order(w, order);
            }
        })
    }

    /// Decodes the payload of a log entry.
    ///
    /// # Errors
    ///
    /// Returns the error of the first value that cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes, |r| match r.byte()? {
            0 => codec::run_once::get_command(r).map(Self::RunOnce),
            1 => codec::bundle::get_command(r).map(|cmd| Self::Bundle(Box::new(cmd))),
            2 => codec::issuer::get_command(r).map(Self::Issuer),
            3 => codec::catalog::get_document(r).map(Self::Catalog),
            4 => codec::evacuation::get_order(r).map(Self::Evacuation),
            tag => Err(CodecError::Tag { what: "command", tag }),
        })
    }
}

use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::bundle_history::BundleCommand;
use masticstair_policy::issuer::IssuerCommand;
use masticstair_policy::run_once::RunOnceCommand;

use super::codec::{self, CodecError};

/// A command for the replicated state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// For the table of calls that must not be repeated.
    RunOnce(RunOnceCommand),
    /// For the bundle history.
    Bundle(Box<BundleCommand>),
    /// For the leases of the order issuers.
    Issuer(IssuerCommand),
    /// Replaces the catalog.
    Catalog(CatalogDocument),
}

impl Command {
    /// Encodes the command for the log.
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
        })
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Returns the first value that cannot be read.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes, |r| match r.byte()? {
            0 => codec::run_once::get_command(r).map(Self::RunOnce),
            1 => codec::bundle::get_command(r).map(|cmd| Self::Bundle(Box::new(cmd))),
            2 => codec::issuer::get_command(r).map(Self::Issuer),
            3 => codec::catalog::get_document(r).map(Self::Catalog),
            tag => Err(CodecError::Tag { what: "command", tag }),
        })
    }
}

use masticstair_policy::bundle_history::BundleReply;
use masticstair_policy::catalog_register::CatalogReply;
use masticstair_policy::evacuations::EvacuationReply;
use masticstair_policy::issuer::IssuerReply;
use masticstair_policy::run_once::RunOnceReply;

use super::codec::{self, CodecError};

/// The reply to a `Command`. It depends only on the log up to the command, so all replicas produce the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// From the table of run-once calls.
    RunOnce(RunOnceReply),
    /// From the bundle history.
    Bundle(BundleReply),
    /// From the leases of the order issuers.
    Issuer(IssuerReply),
    /// From the catalog register.
    Catalog(CatalogReply),
    /// From the register of evacuations.
    Evacuation(EvacuationReply),
    /// The command could not be decoded and changed nothing; the text is the message of the `CodecError`.
    Undecodable(Box<str>),
}

impl Reply {
    /// Encodes the reply, with the format version first.
    pub fn encode(&self) -> Box<[u8]> {
        codec::encode(|w| match self {
            Self::RunOnce(reply) => {
                w.byte(0);
                codec::run_once::put_reply(w, reply);
            }
            Self::Bundle(reply) => {
                w.byte(1);
                codec::bundle_reply::put_reply(w, reply);
            }
            Self::Issuer(reply) => {
                w.byte(2);
                codec::issuer::put_reply(w, reply);
            }
            Self::Catalog(reply) => {
                w.byte(4);
                codec::catalog::put_reply(w, *reply);
            }
            Self::Evacuation(reply) => {
                w.byte(5);
                codec::evacuation::put_reply(w, *reply);
            }
            Self::Undecodable(why) => {
                w.byte(3);
                w.text(why);
            }
        })
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Returns the error of the first value that cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes, |r| match r.byte()? {
            0 => codec::run_once::get_reply(r).map(Self::RunOnce),
            1 => codec::bundle_reply::get_reply(r).map(Self::Bundle),
            2 => codec::issuer::get_reply(r).map(Self::Issuer),
            3 => r.text().map(|why| Self::Undecodable(why.into())),
            4 => codec::catalog::get_reply(r).map(Self::Catalog),
            5 => codec::evacuation::get_reply(r).map(Self::Evacuation),
            tag => Err(CodecError::Tag { what: "reply", tag }),
        })
    }
}

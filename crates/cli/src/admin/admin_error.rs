use masticstair_core::id::{CommandId, EvacuationRevision};
use masticstair_core::prelude::*;
use masticstair_host::http_api::admin::AdminProblem;
use masticstair_policy::bundle_history::BundleRefusal;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

use crate::operator::KeyError;

/// The reason for which a command of an operator was not done. The messages say what to do next.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The key file cannot be used.
    #[error("{0}\nMake a key with: masticstair key new --signer NAME --out FILE")]
    Key(#[from] KeyError),
    /// A file cannot be read.
    #[error("{file}: {source}", file = file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// A bundle file is not a bundle that can work.
    #[error("{file}: {refusal}\nCorrect the file and check it again.", file = file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Every error.
        refusal: BundleRefusal,
    },
    /// No host answered; nothing was done.
    #[error(
        "no host answered; nothing was done:\n{0}\nTry again, or name other hosts with --host."
    )]
    Unreachable(Box<str>),
    /// No host took a command; nothing was done.
    #[error(
        "no host took the command; nothing was done:\n  {0}\nTry again, name other hosts with --host, \
         or look at the voters with: masticstair status"
    )]
    NotRun(Box<str>),
    /// A host refused the request; nothing was done.
    #[error("{}", describe(.0))]
    Refused(Box<AdminProblem>),
    /// The outcome of a command is unknown.
    #[error(
        "the outcome of command {id} is unknown: {reason}\nIt may have taken effect or may still do \
         so. Send it again with: --expect {expected} --command-id {id}"
    )]
    Unknown {
        /// The id of the command.
        id: CommandId,
        /// The revision that it expects.
        expected: Revision,
        /// What was seen last.
        reason: Box<str>,
    },
    /// The outcome of an order for a data centre is unknown.
    #[error(
        "the outcome of the order is unknown: {reason}\nIt may have taken effect or may still do so. Give it \
         again with: --after {after}"
    )]
    OrderUnknown {
        /// The revision that the order builds on.
        after: EvacuationRevision,
        /// What was seen last.
        reason: Box<str>,
    },
    /// Not every host reported the revision in time; the roll itself is done.
    #[error(
        "revision {revision} is in force, but after {limit} ms not every host reported it:\n{lagging}\
         Look again with: masticstair bundle status"
    )]
    Lagging {
        /// The revision.
        revision: Revision,
        /// How long the command waited.
        limit: Millis,
        /// The hosts that lag, one on each line.
        lagging: Box<str>,
    },
    /// A host answered something else than it should.
    #[error("the host answered something else than a document of this release: {0}")]
    Answer(Box<str>),
    /// The runtime cannot be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
}

impl AdminError {
    /// Returns the exit status: 1 refused or not done, 2 usage or file error, 3 outcome unknown.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Key(_) | Self::Read { .. } | Self::Output(_) | Self::Runtime(_) => 2,
            Self::Unknown { .. } | Self::OrderUnknown { .. } => 3,
            _ => 1,
        }
    }
}

fn describe(refused: &AdminProblem) -> String {
    let problem = &refused.problem;
    let mut text = format!("refused ({}): {}", problem.kind, problem.detail);
    for error in &refused.errors {
        text.push_str(&format!("\n  {error}"));
    }
    match advice(&problem.kind) {
        Some(advice) => format!("{text}\n{advice}"),
        None => text,
    }
}

fn advice(kind: &str) -> Option<&'static str> {
    Some(match kind {
        "revision-moved" => {
            "Look at what is in force now (masticstair bundle status, then diff), sign off again and \
             repeat the command under the new revision."
        }
        "evacuation-moved" => {
            "Look at the evacuations now with: masticstair status. Then give the order again."
        }
        "not-signed-off" => "Sign it off first with: masticstair bundle sign-off SHA256",
        "version-taken" => "Give the bundle another version and submit it again.",
        "command-id-reused" => {
            "Leave out --command-id to get a new id, or give the first --expect."
        }
        "bundle-unknown" | "content-dropped" => {
            "Submit the file first with: masticstair bundle submit"
        }
        "bundle-invalid" => "Correct the file; check it with: masticstair bundle check FILE",
        "signer-unknown" | "right-missing" => {
            "Use the key of an operator whom the bundle in force lists with this right."
        }
        "signature-invalid" => {
            "Check that --key is the listed key and --deployment names the deployment."
        }
        "signature-expired" => "Set the clock of this machine.",
        "no-quorum" | "not-proposed" => "Look at the voters with: masticstair status",
        _ => return None,
    })
}

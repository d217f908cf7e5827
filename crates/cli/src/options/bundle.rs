//! Options of `masticstair bundle`.

use bpaf::{Parser, ShellComp, construct, long, positional};
use masticstair_core::prelude::*;
use std::path::PathBuf;

use super::change::change;
use super::connection::connection;
use super::format::format;
use super::{Change, Connection, Format};

/// What is done with a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BundleCommand {
    /// Check a file without a host.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Store a content.
    Submit {
        /// The way to the deployment.
        connection: Connection,
        /// What the command builds on.
        change: Change,
        /// The file.
        file: PathBuf,
    },
    /// Approve a content.
    SignOff {
        /// The way to the deployment.
        connection: Connection,
        /// What the command builds on.
        change: Change,
        /// The content.
        sha256: Sha256Digest,
    },
    /// Put a content in force.
    Roll {
        /// The way to the deployment.
        connection: Connection,
        /// What the command builds on.
        change: Change,
        /// Whether to wait for every host.
        wait: bool,
        /// How long to wait.
        wait_limit: Millis,
        /// The content.
        sha256: Sha256Digest,
    },
    /// Show the revision in force and which host lags.
    Status {
        /// The way to the deployment.
        connection: Connection,
        /// How it is printed.
        format: Format,
    },
    /// Show how a content differs from the one in force.
    Diff {
        /// The way to the deployment.
        connection: Connection,
        /// How it is printed.
        format: Format,
        /// The content.
        sha256: Sha256Digest,
    },
    /// List the bundles.
    History {
        /// The way to the deployment.
        connection: Connection,
        /// How it is printed.
        format: Format,
        /// The most bundles.
        limit: Slots,
        /// The last bundle of the page before.
        cursor: Option<Sha256Digest>,
    },
    /// Print a content.
    Show {
        /// The way to the deployment.
        connection: Connection,
        /// The content.
        sha256: Sha256Digest,
    },
}

pub(super) fn bundle() -> impl Parser<BundleCommand> {
    let (check, submit, sign_off, roll) = (check(), submit(), sign_off(), roll());
    let (status, diff, history, show) = (status(), diff(), history(), show());
    construct!([check, submit, sign_off, roll, status, diff, history, show])
        .to_options()
        .descr("Checks, submits, signs off, rolls and shows bundles")
        .command("bundle")
}

fn check() -> impl Parser<BundleCommand> {
    let file = bundle_file();
    construct!(BundleCommand::Check { file })
        .to_options()
        .descr("Checks a bundle without a host and prints every error")
        .command("check")
}

fn submit() -> impl Parser<BundleCommand> {
    let (connection, change, file) = (connection(), change(), bundle_file());
    construct!(BundleCommand::Submit { connection, change, file })
        .to_options()
        .descr("Stores a bundle; it takes no effect until it is signed off and rolled")
        .command("submit")
}

fn sign_off() -> impl Parser<BundleCommand> {
    let (connection, change, sha256) = (connection(), change(), sha256());
    construct!(BundleCommand::SignOff { connection, change, sha256 })
        .to_options()
        .descr("Approves a submitted bundle for the next revision")
        .command("sign-off")
}

fn roll() -> impl Parser<BundleCommand> {
    let wait = long("wait")
        .help("Wait until every live host reports the revision, and print which hosts lag")
        .switch();
    let wait_limit = long("wait-ms")
        .help("How long --wait waits, in milliseconds")
        .argument::<Millis>("MS")
        .fallback(Millis::new(10_000))
        .display_fallback();
    let (connection, change, sha256) = (connection(), change(), sha256());
    construct!(BundleCommand::Roll { connection, change, wait, wait_limit, sha256 })
        .to_options()
        .descr("Puts a signed-off bundle in force as the next revision")
        .command("roll")
}

fn status() -> impl Parser<BundleCommand> {
    let (connection, format) = (connection(), format());
    construct!(BundleCommand::Status { connection, format })
        .to_options()
        .descr("Shows the revision in force and which hosts lag")
        .command("status")
}

fn diff() -> impl Parser<BundleCommand> {
    let (connection, format, sha256) = (connection(), format(), sha256());
    construct!(BundleCommand::Diff { connection, format, sha256 })
        .to_options()
        .descr("Shows in which tables and entries a bundle differs from the one in force")
        .command("diff")
}

fn history() -> impl Parser<BundleCommand> {
    let limit = long("limit")
        .help("Bundles to list, 1 to 64")
        .argument::<Slots>("N")
        .guard(|n| (1..=64).contains(&n.get()), "the limit must be from 1 to 64")
        .fallback(Slots::new(20))
        .display_fallback();
    let cursor = long("cursor")
        .help("Begin after this bundle, as the page before says [default: the newest]")
        .argument("SHA256")
        .optional();
    let (connection, format) = (connection(), format());
    construct!(BundleCommand::History { connection, format, limit, cursor })
        .to_options()
        .descr("Lists the bundles, newest first")
        .command("history")
}

fn show() -> impl Parser<BundleCommand> {
    let (connection, sha256) = (connection(), sha256());
    construct!(BundleCommand::Show { connection, sha256 })
        .to_options()
        .descr("Prints the content of a bundle")
        .command("show")
}

fn bundle_file() -> impl Parser<PathBuf> {
    let toml = ShellComp::File { mask: Some("*.toml") };
    positional("FILE").help("Bundle file (TOML)").complete_shell(toml)
}

fn sha256() -> impl Parser<Sha256Digest> {
    positional("SHA256").help("Digest of the content, 64 hexadecimal digits, as submit prints it")
}

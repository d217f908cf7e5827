//! Options of `masticstair key`.

use bpaf::{Parser, ShellComp, construct, long, positional};
use masticstair_core::id::SignerName;
use std::path::PathBuf;

/// What is done with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyCommand {
    /// Make a key.
    New {
        /// The name under which bundles and settings list it.
        signer: SignerName,
        /// The new file.
        out: PathBuf,
    },
    /// Print the public part of a key.
    Show {
        /// The key file.
        file: PathBuf,
    },
}

pub(super) fn key() -> impl Parser<KeyCommand> {
    let [new, show] = [new().boxed(), show().boxed()];
    construct!([new, show])
        .to_options()
        .descr("Makes and shows the keys of operators")
        .command("key")
}

fn new() -> impl Parser<KeyCommand> {
    let signer = long("signer")
        .help("Name under which bundles and settings list the key, 1 to 64 characters")
        .argument("NAME");
    let out = long("out").help("New file that only you can read").argument("FILE");
    construct!(KeyCommand::New { signer, out })
        .to_options()
        .descr("Makes a key and prints the table that lists it in a bundle or in settings")
        .command("new")
}

fn show() -> impl Parser<KeyCommand> {
    let file = positional("FILE").help("Key file").complete_shell(ShellComp::File { mask: None });
    construct!(KeyCommand::Show { file })
        .to_options()
        .descr("Prints the table that lists the key; never the secret")
        .command("show")
}

//! The operator of the tests, who rolls bundles through the control thread of a host.

use ed25519_dalek::{Signer as _, SigningKey};
use masticstair_core::prelude::*;
use masticstair_host::control::ControlError;
use masticstair_host::state::HostState;
use masticstair_net::runtime::block_on;
use masticstair_policy::bundle_history::{
    BundleAction, BundleCommand, BundleReply, CommandSignature, SignedHeader, signed_text,
};
use masticstair_store::state::{Command, Reply};
use std::time::{Duration, Instant};

/// Wait limit of a command, including the first election.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

/// Returns the table of the operators for a settings file.
pub fn settings() -> String {
    format!("[[operators]]\n{}", signer())
}

fn signer() -> String {
    let public = hex::encode(key().verifying_key().as_bytes());
    format!("name = \"op\"\nkey = \"{public}\"\nmay = [\"submit\", \"sign-off\", \"roll\"]\n")
}

/// Submits, signs off and rolls a bundle while `expected` is the revision in force; adds the operator as its
/// signer.
pub fn roll(state: &HostState, content: &str, expected: u64) {
    let content = format!("{content}[[signers]]\n{}", signer());
    let digest = Sha256Digest::of(content.as_bytes());
    let actions = [
        BundleAction::Submit(content.into()),
        BundleAction::SignOff(digest),
        BundleAction::Roll(digest),
    ];
    for (step, action) in actions.into_iter().enumerate() {
        let command = sign(state, &format!("c{expected}-{step}"), expected, action);
        match propose(state, &command) {
            Reply::Bundle(BundleReply::Refused(refusal)) => panic!("refused: {refusal}"),
            Reply::Bundle(_) => {}
            other => panic!("unexpected reply {other:?}"),
        }
    }
}

/// Proposes a command and retries it while the outcome is unknown, as operators do. Signed commands are
/// idempotent: one that was committed returns its first reply.
fn propose(state: &HostState, command: &Command) -> Reply {
    let control = state.control.get().unwrap().clone();
    let started = Instant::now();
    loop {
        let remaining = COMMAND_TIMEOUT.saturating_sub(started.elapsed());
        match block_on(async { control.propose(command, remaining).await }).unwrap() {
            Ok(reply) => return reply,
            Err(ControlError::Unknown(reason)) if started.elapsed() < COMMAND_TIMEOUT => {
                eprintln!("outcome of the command is unknown; sending it again: {reason}");
            }
            Err(e) => panic!("{e}"),
        }
    }
}

fn sign(state: &HostState, id: &str, expected: u64, action: BundleAction) -> Command {
    let (id, signer) = (id.parse().unwrap(), "op".parse().unwrap());
    let expected = Revision::new(expected);
    let (right, digest) = (action.right(), action.digest());
    let text = signed_text(&state.cfg.deployment, &id, expected, &signer, right, &digest);
    let signature = CommandSignature::from_bytes(key().sign(text.as_bytes()).to_bytes());
    let header = SignedHeader { id, expected, signer, signature };
    Command::Bundle(Box::new(BundleCommand { header, action }))
}

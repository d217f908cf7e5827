//! Commands of operators on bundles: submit, sign off and roll.

use http::StatusCode;
use masticstair_core::id::{CommandId, SignerName};
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::bundle_history::{
    BundleAction, BundleCommand, BundleRefusal, BundleReply, ContentChange, ContentPart,
    SignatureError, SignedHeader,
};
use masticstair_store::state::{Answer, Command, Reply};
use serde::de::DeserializeOwned;
use std::time::Duration;

use super::problems::{bundle_problem, command_problem, unexpected_answer};
use super::{AdminProblem, CommandOutcome, CommandRequest, SubmitRequest, control, parse_digest};
use crate::state::HostState;

/// Wait limit of a command, after which its outcome is unknown.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles `POST /v1/bundles`.
pub(super) async fn submit(
    state: &HostState,
    req: &Request,
) -> Result<Response, Box<AdminProblem>> {
    let SubmitRequest { command_id, expected_revision, signer, signature, content } = read(req)?;
    let header = header(command_id, expected_revision, signer, &signature)?;
    if let Some(change) = change_of_bundle_in_force(state, &content) {
        let command =
            BundleCommand { header: header.clone(), action: BundleAction::SubmitChange(change) };
        match propose(state, command).await? {
            BundleReply::Refused(BundleRefusal::ChangeMismatch(_)) => {}
            reply => return answer(reply),
        }
    }
    run(state, BundleCommand { header, action: BundleAction::Submit(content) }).await
}

/// Returns the content as a change of the bundle in force, if that is less than half its size. At 1,100
/// changes per day of a bundle with 37,000 accounts, whole contents would add 7 GB per day to the log.
fn change_of_bundle_in_force(state: &HostState, content: &str) -> Option<ContentChange> {
    let in_force = state.in_force.get()?;
    let signed = Answer::decode(&in_force.signed).ok()?;
    let Answer::InForce(Some(base)) = signed else { return None };
    let change = ContentChange::between(&base.content, content);
    let size = |part: &ContentPart| match part {
        ContentPart::Text(text) => text.len(),
        ContentPart::Base { .. } => 16,
    };
    let total: usize = change.parts.iter().map(size).sum();
    (total < content.len() / 2).then_some(change)
}

/// Handles `POST /v1/bundles/{sha256}/sign-off`.
pub(super) async fn sign_off(
    state: &HostState,
    sha256: &str,
    req: &Request,
) -> Result<Response, Box<AdminProblem>> {
    run(state, digest_command(sha256, req, BundleAction::SignOff)?).await
}

/// Handles `POST /v1/bundles/{sha256}/roll`.
pub(super) async fn roll(
    state: &HostState,
    sha256: &str,
    req: &Request,
) -> Result<Response, Box<AdminProblem>> {
    run(state, digest_command(sha256, req, BundleAction::Roll)?).await
}

fn digest_command(
    sha256: &str,
    req: &Request,
    action: fn(Sha256Digest) -> BundleAction,
) -> Result<BundleCommand, Box<AdminProblem>> {
    let digest = parse_digest(sha256)?;
    let CommandRequest { command_id, expected_revision, signer, signature } = read(req)?;
    let header = header(command_id, expected_revision, signer, &signature)?;
    Ok(BundleCommand { header, action: action(digest) })
}

pub(super) fn read<T: DeserializeOwned>(req: &Request) -> Result<T, Box<AdminProblem>> {
    let malformed = |e: serde_json::Error| {
        Problem::not_run(400, "command-malformed", e.to_string()).with_field("body")
    };
    Ok(serde_json::from_slice(&req.body).map_err(malformed)?)
}

fn header(
    id: CommandId,
    expected: Revision,
    signer: SignerName,
    signature: &str,
) -> Result<SignedHeader, Box<AdminProblem>> {
    let malformed = |e: SignatureError| {
        Problem::not_run(400, "signature-malformed", e.to_string()).with_field("signature")
    };
    Ok(SignedHeader { id, expected, signer, signature: signature.parse().map_err(malformed)? })
}

async fn run(state: &HostState, command: BundleCommand) -> Result<Response, Box<AdminProblem>> {
    answer(propose(state, command).await?)
}

fn answer(reply: BundleReply) -> Result<Response, Box<AdminProblem>> {
    outcome(reply).map(|outcome| Response::json(StatusCode::OK, &outcome))
}

async fn propose(
    state: &HostState,
    command: BundleCommand,
) -> Result<BundleReply, Box<AdminProblem>> {
    let Some(_in_flight) = state.drain.enter() else {
        let leaving = Problem::not_run(503, "host-leaving", "this host is shutting down");
        return Err(leaving.with_retry_after(1).into());
    };
    let control = control(state)?;
    check_signature(state, &command)?;
    let command = Command::Bundle(Box::new(command));
    match control.propose(&command, COMMAND_TIMEOUT).await.map_err(command_problem)? {
        Reply::Bundle(reply) => Ok(reply),
        _ => Err(unexpected_answer()),
    }
}

/// Refuses a command whose signature the replicated state would refuse. Anyone can send commands, and without
/// this check each would be written and synced on every voter.
fn check_signature(state: &HostState, command: &BundleCommand) -> Result<(), Box<AdminProblem>> {
    let in_force = state.in_force.get();
    let signers = in_force.as_ref().map_or(&state.cfg.operators, |c| &c.bundle.signers);
    let (right, digest) = (command.action.right(), command.action.digest());
    let checked = command.header.verify(&state.cfg.deployment, right, &digest, signers);
    checked.map_err(|refusal| match newer_revision(state) {
        Some(newest) => {
            let detail = format!("revision {newest} is not yet in force on this host: {refusal}");
            Problem::not_run(503, "host-behind", detail).with_retry_after(1).into()
        }
        None => bundle_problem(refusal),
    })
}

/// Returns the newest known revision if this host holds an older one, whose signers may differ.
pub(super) fn newer_revision(state: &HostState) -> Option<Revision> {
    let newest = state.membership.get()?.snapshot().newest_revision;
    let held = state.in_force.get().map(|c| c.revision).unwrap_or_default();
    (newest > held).then_some(newest)
}

fn outcome(reply: BundleReply) -> Result<CommandOutcome, Box<AdminProblem>> {
    match reply {
        BundleReply::Submitted { version, digest, by } => {
            Ok(CommandOutcome::Submitted { version, sha256: digest, signer: by })
        }
        BundleReply::SignedOff { digest, next } => {
            Ok(CommandOutcome::SignedOff { sha256: digest, next_revision: next })
        }
        BundleReply::Rolled { digest, revision } => {
            Ok(CommandOutcome::Rolled { sha256: digest, revision })
        }
        BundleReply::Refused(refusal) => Err(bundle_problem(refusal)),
    }
}

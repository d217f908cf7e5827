//! Sends a signed command, and sends it again under the same id when its answer is lost.

use bytes::Bytes;
use masticstair_core::id::CommandId;
use masticstair_core::prelude::*;
use masticstair_host::http_api::admin::{
    AdminProblem, BUNDLES_PATH, CommandOutcome, CommandRequest, HistoryList, SubmitRequest,
};
use masticstair_policy::bundle_history::{BundleAction, BundleCommand};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

use super::client::parse;
use super::{AdminClient, AdminError};
use crate::operator::sign_command;
use crate::options::Change;

/// How often each host is tried. A new leader is elected within 2 s, which is less than all rounds take.
const ROUNDS: usize = 5;
/// The wait between rounds.
const ROUND_WAIT: Duration = Duration::from_millis(500);

/// How one attempt ended.
enum Attempt<T> {
    Done(Box<T>),
    Refused(Box<AdminProblem>),
    /// Certainly no effect; another host or a later time may do.
    NotRun(Box<str>),
    /// The command may have taken effect.
    Unknown(Box<str>),
}

/// Gives a command and returns what it did.
///
/// # Errors
///
/// `Unknown` when the command may have taken effect, even if a later attempt did not run.
pub(super) async fn give_command(
    client: &AdminClient,
    change: &Change,
    action: BundleAction,
) -> Result<CommandOutcome, AdminError> {
    let expected = match change.expect {
        Some(revision) => revision,
        None => read_revision(client).await?,
    };
    let id = change.command_id.clone().map_or_else(random_id, Ok)?;
    eprintln!("{} under revision {expected}, command id {id}", action.right());
    let command = sign_command(&client.key, &client.deployment, id.clone(), expected, action);
    let (path, body) = encode(&command)?;
    let outcome = send_until_known(client, &path, &body, &format!("command {id}")).await;
    outcome.map_err(|e| match e {
        Failed::Unknown(reason) => AdminError::Unknown { id, expected, reason },
        Failed::Known(e) => *e,
    })
}

/// How sending until the outcome is known failed.
pub(super) enum Failed {
    Known(Box<AdminError>),
    Unknown(Box<str>),
}

/// Posts a signed command to the hosts in turn until one tells its outcome; `what` names it in messages.
pub(super) async fn send_until_known<T: DeserializeOwned>(
    client: &AdminClient,
    path: &str,
    body: &Bytes,
    what: &str,
) -> Result<T, Failed> {
    let mut may_have_run = false;
    let mut reason: Box<str> = "".into();
    for round in 0..ROUNDS {
        if round > 0 {
            monoio::time::sleep(ROUND_WAIT).await;
        }
        for host in &client.hosts {
            match attempt(client, *host, path, body).await {
                Attempt::Done(done) => return Ok(*done),
                // A signature that counted at the first attempt need not count after it took effect.
                Attempt::Refused(problem) if may_have_run && problem.problem.status == 403 => {
                    return Err(Failed::Unknown(problem.problem.detail));
                }
                Attempt::Refused(problem) => {
                    return Err(Failed::Known(Box::new(AdminError::Refused(problem))));
                }
                Attempt::NotRun(why) => reason = why,
                Attempt::Unknown(why) => {
                    eprintln!("{host}: outcome unknown ({why}); sending {what} again");
                    (may_have_run, reason) = (true, why);
                }
            }
        }
    }
    if may_have_run {
        return Err(Failed::Unknown(reason));
    }
    Err(Failed::Known(Box::new(AdminError::NotRun(reason))))
}

async fn attempt<T: DeserializeOwned>(
    client: &AdminClient,
    host: SocketAddr,
    path: &str,
    body: &Bytes,
) -> Attempt<T> {
    match client.post(host, path, body).await {
        Ok(Ok(body)) => match parse(&body) {
            Ok(done) => Attempt::Done(Box::new(done)),
            Err(e) => Attempt::Unknown(e.to_string().into()),
        },
        Ok(Err(problem)) => match (problem.problem.outcome, problem.problem.status) {
            (RefusalOutcome::NotRun, 429 | 503) => Attempt::NotRun(problem.problem.detail),
            (RefusalOutcome::NotRun, _) => Attempt::Refused(problem),
            _ => Attempt::Unknown(problem.problem.detail),
        },
        Err(e) if e.may_have_sent() => Attempt::Unknown(e.to_string().into()),
        Err(e) => Attempt::NotRun(e.to_string().into()),
    }
}

async fn read_revision(client: &AdminClient) -> Result<Revision, AdminError> {
    let list: HistoryList = client.read(&format!("{BUNDLES_PATH}?limit=1")).await?;
    Ok(list.revision)
}

fn random_id() -> Result<CommandId, AdminError> {
    let id = uuid::Uuid::new_v4().to_string();
    id.parse().map_err(|e| AdminError::Answer(format!("{e}").into()))
}

/// Returns the path and the body of a command. Contents are sent whole; hosts make changes of them.
fn encode(command: &BundleCommand) -> Result<(String, Bytes), AdminError> {
    let header = &command.header;
    let request = CommandRequest {
        command_id: header.id.clone(),
        expected_revision: header.expected,
        signer: header.signer.clone(),
        signature: header.signature.to_string().into(),
    };
    let about = |digest: &Sha256Digest, what: &str| format!("{BUNDLES_PATH}/{digest}/{what}");
    // Every member of both bodies has a JSON form.
    let body = |json: serde_json::Result<Vec<u8>>| Bytes::from(json.unwrap_or_default());
    Ok(match &command.action {
        BundleAction::SubmitChange(_) => {
            return Err(AdminError::Answer("a change of a content cannot be submitted".into()));
        }
        BundleAction::Submit(content) => {
            let CommandRequest { command_id, expected_revision, signer, signature } = request;
            let content = content.clone();
            let request =
                SubmitRequest { command_id, expected_revision, signer, signature, content };
            (BUNDLES_PATH.into(), body(serde_json::to_vec(&request)))
        }
        BundleAction::SignOff(digest) => {
            (about(digest, "sign-off"), body(serde_json::to_vec(&request)))
        }
        BundleAction::Roll(digest) => (about(digest, "roll"), body(serde_json::to_vec(&request))),
    })
}

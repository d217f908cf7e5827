//! Forms the first group of voters. This happens once, when the data folders of all initial voters are empty.

use masticstair_core::id::LogIndex;
use masticstair_core::message::Replica;
use masticstair_core::prelude::*;
use masticstair_net::peer::GroupId;
use masticstair_store::consensus::{FormationAnswer, FormationDecision, decide_formation};
use slog::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;

use super::control_context::ControlContext;

/// Interval between two attempts to form the group.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of the request to one initial voter.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs until the local replica has a committed entry, or an existing group is found whose leader will send it a
/// log. An entry that is not committed does not count, because a storage fault may drop it.
pub(super) async fn form_group(cx: ControlContext) {
    loop {
        let (Some(node), Some(initial)) = (cx.node(), initial_voters(&cx)) else {
            monoio::time::sleep(ATTEMPT_INTERVAL).await;
            continue;
        };
        let local = node.formation_answer();
        if !local.log_is_empty {
            if node.status().commit_index > LogIndex::default() {
                return;
            }
            monoio::time::sleep(ATTEMPT_INTERVAL).await;
            continue;
        }
        let local_replica = local.replica.clone();
        let mut answers = vec![local];
        for host in initial.iter().filter(|h| **h != local_replica.host) {
            answers.extend(request_formation(&cx, host).await);
        }
        match decide_formation(&local_replica, &initial, &answers) {
            FormationDecision::Form { voters, term } => {
                let count = voters.voters.len();
                match node.form(*voters, term).await {
                    Ok(()) => info!(cx.state.log, "voter group formed"; "voters" => count),
                    Err(e) => {
                        warn!(cx.state.log, "cannot form the voter group; retrying"; "reason" => %e)
                    }
                }
            }
            FormationDecision::Join => return,
            FormationDecision::Wait => {}
        }
        monoio::time::sleep(ATTEMPT_INTERVAL).await;
    }
}

/// Returns the hosts that form the group: those named in the settings or, with `form_from_seeds`, those at
/// the seed addresses. `None` until the membership knows a host at every seed.
fn initial_voters(cx: &ControlContext) -> Option<Vec<HostId>> {
    let cfg = &cx.state.cfg;
    if !cfg.form_from_seeds {
        return Some(cfg.initial_voters.clone());
    }
    let snapshot = cx.membership.snapshot();
    let at = |seed: &SocketAddr| {
        snapshot.hosts.iter().find(|h| h.record.address == *seed).map(|h| h.record.host.clone())
    };
    cfg.seeds.iter().map(at).collect()
}

/// Asks an initial voter for the state of its replica; `None` if it doesn't answer or has no data folder.
async fn request_formation(cx: &ControlContext, host: &HostId) -> Option<FormationAnswer> {
    let record = cx.membership.host(host)?;
    let client = cx.peers.client(&record);
    let answer = client.formation(GroupId::FIRST, ANSWER_TIMEOUT).await.ok()?;
    let replica = Replica {
        id: answer.replica?,
        host: host.clone(),
        data_centre: record.data_centre.clone(),
    };
    Some(FormationAnswer { replica, log_is_empty: answer.new, term: answer.term })
}

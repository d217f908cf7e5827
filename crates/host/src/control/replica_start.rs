//! Starts the replica of a host that has a data folder, and puts what it applies in force.

use masticstair_core::id::EvacuationRevision;
use masticstair_core::message::Replica;
use masticstair_core::prelude::*;
use masticstair_gateway::GatewayEvent;
use masticstair_store::consensus::{Config, Node, NodeParts, RestoreError, StateMachine};
use masticstair_store::replica::{LocalReplica, ReplicaError, ReplicaParts};
use masticstair_store::state::{ReplicatedState, StateClosures};
use masticstair_store::storage::{self, StorageError, StorageHandle};
use slog::{Logger, warn};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use super::bundles::install_committed;
use super::peer_links;
use crate::membership::{Membership, PeerPool};
use crate::state::HostState;

/// Opens the data folder and starts the replica from its content.
pub(super) fn start_replica(
    state: &Arc<HostState>,
    membership: &Arc<Membership>,
    peers: &Rc<PeerPool>,
    folder: &Path,
) -> Result<LocalReplica, ReplicaError> {
    let (folder, open_log): (Box<Path>, _) = (folder.into(), state.log.clone());
    let (host, counting) = (state.clone(), state.clone());
    let (membership, peers) = (membership.clone(), peers.clone());
    LocalReplica::start(ReplicaParts {
        open: Arc::new(move || open_or_repair(&open_log, &folder)),
        start: Box::new(move |identity, recovered, storage| {
            let cfg = Config {
                replace_after: host.cfg.replace_voter_after,
                target_voters: Slots::new(2 * host.cfg.disk_losses as u32 + 1),
                ..Config::default()
            };
            Node::start(NodeParts {
                local_replica: Replica {
                    id: identity,
                    host: host.cfg.host.clone(),
                    data_centre: host.cfg.data_centre.clone(),
                },
                connect: peer_links::connect(membership.clone(), peers.clone(), &cfg),
                cfg,
                recovered,
                storage,
                state_machine: state_machine(&host, &membership),
                log: host.log.clone(),
            })
        }),
        changed: Box::new(move |node| {
            let metrics = &counting.metrics;
            metrics.replica_running.set(i64::from(node.is_some()));
            if node.is_none() {
                metrics.storage_faults.inc();
            }
        }),
        log: state.log.clone(),
    })
}

/// Opens the data folder. A damaged folder is moved aside, and the host rejoins as a new replica, to which
/// the leader sends the log.
fn open_or_repair(
    log: &Logger,
    folder: &Path,
) -> Result<(StorageHandle, storage::Recovered), StorageError> {
    match storage::open(folder) {
        Err(e @ (StorageError::Damaged { .. } | StorageError::Missing { .. })) => {
            let kept = storage::repair(folder)?;
            warn!(log, "data folder is damaged; moved it aside and rejoining as a new replica";
                "reason" => %e, "kept" => %kept.display());
            storage::open(folder)
        }
        opened => opened,
    }
}

/// Creates the replicated state machine. Each new revision is put in force on this host, and each new catalog
/// and change of the evacuations is sent to its gateway.
fn state_machine(state: &Arc<HostState>, membership: &Arc<Membership>) -> StateMachine {
    let operators = state.cfg.operators.clone().into();
    let replicated = ReplicatedState::new(state.cfg.deployment.clone(), operators);
    let replicated = Rc::new(RefCell::new(replicated));
    let StateClosures { mut apply, query, snapshot, mut restore } = StateClosures::new(&replicated);
    let [applied, restored] = [replicated.clone(), replicated];
    let [on_apply, on_restore] = [(); 2].map(|()| {
        let (state, membership) = (state.clone(), membership.clone());
        move |replicated: &RefCell<ReplicatedState>, before: EvacuationRevision| {
            let replicated = replicated.borrow();
            if let Some(document) = replicated.catalog() {
                state.notify_gateway(GatewayEvent::Catalog(document.clone()));
            }
            if replicated.evacuation_revision() != before {
                state.notify_gateway(GatewayEvent::Evacuations(replicated.evacuations()));
            }
            if let (Some(in_force), Some(bundle)) = (replicated.in_force(), replicated.bundle()) {
                install_committed(&state, &membership, in_force, bundle.clone());
            }
        }
    });
    StateMachine {
        apply: Box::new(move |index, command| {
            let before = versions_in_force(&applied);
            let reply = apply(index, command);
            if versions_in_force(&applied) != before {
                on_apply(&applied, before.2);
            }
            reply
        }),
        query,
        snapshot,
        restore: Box::new(move |bytes| {
            restore(bytes).map_err(|e| RestoreError(e.to_string().into()))?;
            on_restore(&restored, EvacuationRevision::default());
            Ok(())
        }),
    }
}

/// Returns the versions whose change means that a command put a new bundle, catalog or evacuation in force.
fn versions_in_force(
    replicated: &RefCell<ReplicatedState>,
) -> (Revision, CatalogVersion, EvacuationRevision) {
    let replicated = replicated.borrow();
    let catalog = replicated.catalog().map(|document| document.version).unwrap_or_default();
    (replicated.revision(), catalog, replicated.evacuation_revision())
}

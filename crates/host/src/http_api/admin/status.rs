//! The status of a deployment.

use futures_channel::oneshot;
use futures_util::join;
use http::StatusCode;
use masticstair_core::bundle::StageKind;
use masticstair_core::prelude::*;
use masticstair_gateway::GatewayEvent;
use masticstair_gateway::status::GatewayStatus;
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::endpoint_table::EndpointView;
use masticstair_policy::membership::HostState as MemberState;
use masticstair_store::state::{Answer, Query};
use std::collections::BTreeMap;
use std::time::Duration;

use super::read_auth::check_read;
use super::{
    AdminProblem, HostStatus, LocalHostStatus, PoolStatus, StatusReport, control, find_faults,
};
use crate::control::{ControlStatus, LeaderStatus, VoterProgress};
use crate::membership::HostReport;
use crate::state::{BundleInForce, HostState};

/// Wait limit for the leader. If it doesn't answer, the status holds what this host knows.
const LEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait limit for the gateway thread.
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles `GET /v1/status`.
pub(super) async fn report(
    state: &HostState,
    req: &Request,
) -> Result<Response, Box<AdminProblem>> {
    check_read(state, req)?;
    let control = control(state)?;
    let (_, gateway, leader, revision, local) = join!(
        control.survey(),
        gateway_status(state),
        control.leader_status(LEADER_TIMEOUT),
        control.read(&Query::Revision, LEADER_TIMEOUT),
        control.status(),
    );
    let confirmed = match revision {
        Ok(Answer::Revision(revision)) => Some(revision),
        _ => None,
    };
    let mut report = build_report(state, leader.ok(), confirmed, local.ok());
    report.gateway = gateway;
    report.unhealthy = find_faults(&report);
    Ok(Response::json(StatusCode::OK, &report))
}

fn build_report(
    state: &HostState,
    group: Option<LeaderStatus>,
    confirmed: Option<Revision>,
    local: Option<ControlStatus>,
) -> StatusReport {
    let in_force = state.in_force.get();
    let snapshot = state.membership.get().map(|m| m.snapshot()).unwrap_or_default();
    let reports = state.membership.get().map(|m| m.host_reports()).unwrap_or_default();
    let revision = confirmed.unwrap_or(snapshot.newest_revision);
    let node = local.as_ref().and_then(|local| local.node.as_ref());
    let known_voters = || node.map(VoterProgress::all).unwrap_or_default();
    StatusReport {
        deployment: state.cfg.deployment.clone(),
        unhealthy: Vec::new(),
        revision,
        confirmed: confirmed.is_some(),
        version: in_force.as_ref().map(|c| c.bundle.version.clone()),
        sha256: in_force.as_ref().map(|c| c.bundle.digest),
        this_host: local_host_status(state, local.as_ref()),
        hosts: reports.iter().map(|r| host_status(r, revision)).collect(),
        leader: match &group {
            Some(group) => Some(group.leader.clone()),
            None => local.as_ref().and_then(|local| local.leader.clone()),
        },
        term: group.as_ref().map(|g| g.term),
        last: group.as_ref().map(|g| g.last),
        commit: group.as_ref().map(|g| g.commit),
        voters_changing: group.as_ref().is_some_and(|g| g.changing),
        voters: group.map_or_else(known_voters, |g| g.voters),
        pools: pool_statuses(in_force.as_deref(), &snapshot.endpoints),
        gateway: None,
    }
}

/// Returns the status of the gateway of this host; none if there is no gateway or it does not answer in time.
async fn gateway_status(state: &HostState) -> Option<GatewayStatus> {
    let (reply, answer) = oneshot::channel();
    state.gateway.get()?.unbounded_send(GatewayEvent::Status(reply)).ok()?;
    monoio::time::timeout(GATEWAY_TIMEOUT, answer).await.ok()?.ok()
}

fn local_host_status(state: &HostState, local: Option<&ControlStatus>) -> LocalHostStatus {
    LocalHostStatus {
        host: state.cfg.host.clone(),
        region: state.cfg.region.clone(),
        data_centre: state.cfg.data_centre.clone(),
        incarnation: state.incarnation,
        not_serving: state.serving().err().map(|e| e.to_string().into()),
        leaving: state.drain.is_leaving(),
        waiting: Slots::new(u32::try_from(state.traffic.waiting()).unwrap_or(u32::MAX)),
        in_flight: Slots::new(state.drain.in_flight()),
        connections: state.connections.open(),
        storage_fault: local.and_then(|local| local.replica_fault.clone()),
    }
}

fn host_status(report: &HostReport, in_force: Revision) -> HostStatus {
    let record = &report.record;
    HostStatus {
        host: record.host.clone(),
        data_centre: record.data_centre.clone(),
        peer_address: record.address,
        incarnation: record.incarnation,
        suspected: record.state == MemberState::Suspect,
        revision: report.reported.map(|r| r.revision),
        reported_ms: report.reported.map(|r| Millis::new(r.age.as_millis() as u64)),
        lags: report.reported.is_none_or(|r| r.revision < in_force),
    }
}

fn pool_statuses(in_force: Option<&BundleInForce>, endpoints: &[EndpointView]) -> Vec<PoolStatus> {
    let mut pools = BTreeMap::new();
    for pool in in_force.iter().flat_map(|c| &c.bundle.pools) {
        pools.insert(pool.name.clone(), empty_pool(&pool.name, pool.kind, true));
    }
    for view in endpoints {
        let record = &view.record;
        let new = || empty_pool(&record.pool, record.kind, false);
        let status: &mut PoolStatus = pools.entry(record.pool.clone()).or_insert_with(new);
        let add = |to: &mut Slots, more: u32| *to = Slots::new(to.get().saturating_add(more));
        add(&mut status.endpoints, 1);
        add(&mut status.unconfirmed, u32::from(!view.confirmed));
        add(&mut status.capacity, record.capacity.get());
    }
    pools.into_values().collect()
}

fn empty_pool(pool: &PoolName, kind: StageKind, in_bundle: bool) -> PoolStatus {
    let none = Slots::new(0);
    let pool = pool.clone();
    PoolStatus { pool, kind, in_bundle, endpoints: none, unconfirmed: none, capacity: none }
}

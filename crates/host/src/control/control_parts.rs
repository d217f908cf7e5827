use futures_channel::mpsc;
use masticstair_net::peer::{PeerHandlers, PeerIdentity, PeerServer, ProtocolVersion};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::control_context::ControlContext;
use super::control_job::ControlJob;
use super::{ControlHandle, ControlStartError, bundles, handlers, replica_start};
use crate::membership::{
    BundleHooks, Membership, MembershipConfig, PeerPool, RevisionSurvey, install_handlers,
};
use crate::state::HostState;

/// The parts from which the control thread runs, created by [`start_parts`].
pub(super) struct ControlParts {
    pub(super) cx: ControlContext,
    pub(super) server: PeerServer,
    pub(super) peer_addr: SocketAddr,
    pub(super) jobs: mpsc::UnboundedReceiver<ControlJob>,
    pub(super) hooks: Rc<BundleHooks>,
}

/// Binds the peer address, opens the data folder if there is one, and creates the membership and the peer
/// server.
pub(super) fn start_parts(state: &Arc<HostState>) -> Result<ControlParts, ControlStartError> {
    let identity = PeerIdentity {
        deployment: state.cfg.deployment.clone(),
        host: state.cfg.host.clone(),
        incarnation: state.incarnation,
        protocol: ProtocolVersion::CURRENT,
    };
    let clock = state.clock;
    let wanted = state.cfg.peer_listen;
    let bind_error = |source| ControlStartError::Bind { addr: wanted, source };
    let listener = PeerServer::listen(wanted).map_err(bind_error)?;
    let addr = listener.local_addr().map_err(bind_error)?;
    let membership = Membership::new(MembershipConfig {
        identity: identity.clone(),
        address: state.cfg.peer_address.unwrap_or(addr),
        data_centre: state.cfg.data_centre.clone(),
        durable: state.cfg.data_folder.is_some(),
        seeds: state.cfg.seeds.clone().into(),
        clock: Box::new(move || clock.now()),
    });
    let peers = Rc::new(PeerPool::new(identity.clone()));
    let hooks = bundles::bundle_hooks(state);
    let mut peer_handlers = PeerHandlers::refusing();
    install_handlers(&mut peer_handlers, &membership, &peers, &hooks, &state.log);
    let mut replica = None;
    if let Some(folder) = &state.cfg.data_folder {
        let started = replica_start::start_replica(state, &membership, &peers, folder)?;
        handlers::install_replica(&mut peer_handlers, &started);
        replica = Some(started);
    } else {
        handlers::install_without_replica(&mut peer_handlers);
    }
    handlers::install_gateway(&mut peer_handlers, state);
    let server = PeerServer::new(listener, identity, peer_handlers);
    let (handle, jobs) = ControlHandle::new();
    // Setting fails only if already set; a host starts its control thread once.
    let _ = state.control.set(handle);
    let _ = state.membership.set(membership.clone());
    let leader = Rc::default();
    let (survey_membership, survey_peers) = (membership.clone(), peers.clone());
    let survey =
        RevisionSurvey::new(survey_membership, survey_peers, hooks.clone(), state.log.clone());
    let survey = Rc::new(survey);
    let cx = ControlContext { state: state.clone(), membership, peers, replica, leader, survey };
    Ok(ControlParts { cx, server, peer_addr: addr, jobs, hooks })
}

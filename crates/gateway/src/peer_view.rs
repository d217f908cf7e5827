use std::rc::Rc;

use crate::PeerHost;

/// A snapshot of the deployment's hosts.
#[derive(Default)]
pub struct PeerView {
    /// The live hosts as far as this host knows them, including itself, and the control hosts that count as failed.
    pub hosts: Box<[PeerHost]>,
    /// Whether this host has joined the deployment.
    pub joined: bool,
}

/// Returns the current view. Called for every request, so the view is rebuilt only when the hosts have
/// changed.
pub type Peers = Box<dyn Fn() -> Rc<PeerView>>;

use std::rc::Rc;

use crate::PeerHost;

/// The other hosts, as of one moment.
#[derive(Default)]
pub struct PeerView {
    /// The live hosts as far as this host knows them, itself included.
    pub hosts: Box<[PeerHost]>,
    /// Whether this host has joined the others.
    pub joined: bool,
}

/// Returns the present view. Requests ask for it, so it is made anew only when the hosts have changed.
pub type Peers = Box<dyn Fn() -> Rc<PeerView>>;

use masticstair_core::message::Replica;
use masticstair_store::consensus::Node;
use std::rc::Rc;

use super::disk::Disk;

/// A host of the cluster: its current replica and disk, and its node while the process runs.
pub struct Member {
    pub replica: Replica,
    pub incarnation: u8,
    pub disk: Rc<Disk>,
    pub node: Option<Node>,
}

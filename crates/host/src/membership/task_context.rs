use std::rc::Rc;
use std::sync::Arc;

use super::{BundleHooks, Membership, PeerPool};
use slog::Logger;

/// The part of the context that all membership tasks share.
#[derive(Clone)]
pub(crate) struct TaskContext {
    pub(crate) membership: Arc<Membership>,
    pub(crate) peers: Rc<PeerPool>,
    pub(crate) bundles: Rc<BundleHooks>,
    pub(crate) log: Logger,
}

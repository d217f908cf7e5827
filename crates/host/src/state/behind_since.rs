use masticstair_core::prelude::*;
use parking_lot::Mutex;

/// When this host learnt of a revision newer than the one it has in force; `None` while it has the newest.
#[derive(Debug, Default)]
pub(super) struct BehindSince(pub(super) Mutex<Option<Timestamp>>);

use masticstair_core::prelude::*;
use parking_lot::Mutex;

/// Since when a newer revision is known than the one in force here.
#[derive(Debug, Default)]
pub(super) struct BehindSince(pub(super) Mutex<Option<Timestamp>>);

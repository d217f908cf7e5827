//! The side of a control host: announcements of endpoints, catalogs of operators, and entry hosts that
//! follow.

mod answer;
mod catalog_store;
mod control_host;
mod follow;

pub use catalog_store::{CatalogStore, StoreError};
pub use control_host::ControlHost;

pub(crate) use answer::answer_control;
pub(crate) use follow::answer_follow;

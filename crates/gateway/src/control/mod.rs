//! The side of a control host: announcements of endpoints, catalogs of operators, and entry hosts that
//! follow.

mod answer_control;
mod answer_subscribe;
mod catalog_store;
mod control_host;
mod store_error;

pub use catalog_store::CatalogStore;
pub use control_host::ControlHost;
pub use store_error::StoreError;

pub(crate) use answer_control::answer_control;
pub(crate) use answer_subscribe::answer_subscribe;

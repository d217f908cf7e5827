//! Control hosts: announcements of endpoints, catalogs from operators, and updates to subscribed entry hosts.

mod answer_control;
mod answer_findings;
mod answer_subscribe;
mod catalog_confirmations;
mod catalog_store;
mod control_host;
mod listing_confirmations;
mod recent_catalogs;
mod store_error;

pub use catalog_store::CatalogStore;
pub(crate) use control_host::ControlHost;
pub use store_error::StoreError;

pub(crate) use answer_control::answer_control;
pub(crate) use answer_findings::answer_findings;
pub(crate) use answer_subscribe::answer_subscribe;

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests;

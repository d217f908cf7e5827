//! Control hosts: announcements of endpoints, catalogs and orders from operators, and updates to subscribed entry hosts.

mod answer_control;
mod answer_findings;
mod answer_subscribe;
mod catalog_confirmations;
mod catalog_store;
mod control_host;
mod evacuation_error;
mod evacuation_outcome;
mod evacuation_store;
mod listing_confirmations;
mod order_evacuation;
mod recent_catalogs;
mod store_error;
mod wake_subscribers;

pub use catalog_store::CatalogStore;
pub(crate) use control_host::ControlHost;
pub use evacuation_error::EvacuationError;
pub use evacuation_outcome::EvacuationOutcome;
pub use evacuation_store::EvacuationStore;
pub use store_error::StoreError;

pub(crate) use answer_control::answer_control;
pub(crate) use answer_findings::answer_findings;
pub(crate) use answer_subscribe::answer_subscribe;
pub(crate) use order_evacuation::order_evacuation;
pub(crate) use wake_subscribers::wake_subscribers;

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests;

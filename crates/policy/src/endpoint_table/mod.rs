//! The endpoints with their incarnations and leases.
//!
//! An endpoint announces itself to one host, its observer, which holds its lease. Hosts exchange changes of
//! records, not renewals.

mod announce_error;
mod announcement;
mod endpoint_entry;
mod endpoint_record;
mod endpoint_state;
mod endpoint_view;
mod lease;
pub mod limits;
mod load_report;
mod observer_state;
mod sequence;
mod served_model;
mod table;

pub use announce_error::AnnounceError;
pub use announcement::Announcement;
pub use endpoint_entry::EndpointEntry;
pub use endpoint_record::EndpointRecord;
pub use endpoint_state::EndpointState;
pub use endpoint_view::EndpointView;
pub use lease::Lease;
pub use load_report::LoadReport;
pub use observer_state::ObserverState;
pub use sequence::Sequence;
pub use served_model::ServedModel;
pub use table::EndpointTable;

#[cfg(test)]
mod tests;

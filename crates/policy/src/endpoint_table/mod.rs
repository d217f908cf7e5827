//! The endpoints with their incarnations and leases.

mod endpoint_record;
mod endpoint_state;
mod load_report;
mod sequence;
mod served_model;

pub use endpoint_record::EndpointRecord;
pub use endpoint_state::EndpointState;
pub use load_report::LoadReport;
pub use sequence::Sequence;
pub use served_model::ServedModel;

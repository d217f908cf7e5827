//! Batches the items of many requests into calls to the endpoints of a stage service.

mod arrival_rate;
mod call_outlook;
mod endpoint_load;
mod endpoint_offer;
mod hold_until;
mod job_number;
mod result_capacity;
mod retained_results;
mod stage_item;
#[expect(clippy::module_inception, reason = "one type per file, named after it")]
mod stage_queue;
mod unreachable_until;
mod waiting_stage;

pub use arrival_rate::ArrivalRate;
pub use call_outlook::CallOutlook;
pub use endpoint_load::EndpointLoad;
pub use endpoint_offer::EndpointOffer;
pub use hold_until::hold_until;
pub use job_number::JobNumber;
pub use result_capacity::ResultCapacity;
pub use retained_results::RetainedResults;
pub use stage_item::StageItem;
pub use stage_queue::StageQueue;
pub use unreachable_until::unreachable_until;

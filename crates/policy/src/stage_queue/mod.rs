//! Forms the calls of a stage service: items of many requests that one endpoint works on together.

mod endpoint_load;
mod endpoint_offer;
mod freed_capacity;
mod job_number;
mod retained_results;
mod stage_item;
#[expect(clippy::module_inception, reason = "one type a file, under its own name")]
mod stage_queue;
mod unreachable_until;
mod waiting_stage;

pub use endpoint_load::EndpointLoad;
pub use endpoint_offer::EndpointOffer;
pub use freed_capacity::FreedCapacity;
pub use job_number::JobNumber;
pub use retained_results::RetainedResults;
pub use stage_item::StageItem;
pub use stage_queue::StageQueue;
pub use unreachable_until::unreachable_until;

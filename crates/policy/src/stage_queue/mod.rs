//! Forms the calls of a stage service: items of many requests that one endpoint works on together.

mod endpoint_offer;
mod job_number;
mod queue;
mod stage_item;
mod stage_work;

pub use endpoint_offer::EndpointOffer;
pub use job_number::JobNumber;
pub use queue::StageQueue;
pub use stage_item::StageItem;
pub use stage_work::StageWork;

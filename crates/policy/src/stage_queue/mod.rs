//! Forms the calls of a stage service: items of many requests that one endpoint works on together.

mod endpoint_offer;
mod freed_room;
mod job_number;
mod kept_results;
mod queue;
mod stage_item;
mod stage_work;
mod stranded;
mod waiting_stage;

pub use endpoint_offer::EndpointOffer;
pub use freed_room::FreedRoom;
pub use job_number::JobNumber;
pub use kept_results::KeptResults;
pub use queue::StageQueue;
pub use stage_item::StageItem;
pub use stage_work::StageWork;
pub use stranded::stranded_until;

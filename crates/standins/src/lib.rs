//! Stand-ins for engines, pools, plain services and the weight store, for the demo, benchmarks and tests.
//!
//! They simulate the time and the output of calls and run no model.

mod announcer;
mod call_log;
mod call_record;
mod engine;
mod engine_speed;
mod faults;
mod service;
mod slot_queue;
mod stage_work;
mod stand_in;
mod stand_in_handle;
mod token_stamp;
mod weight_store;

pub use call_log::CallLog;
pub use call_record::CallRecord;
pub use engine::engine_work;
pub use engine_speed::EngineSpeed;
pub use faults::Faults;
pub use service::{lookup_work, order_work, pool_work};
pub use slot_queue::SlotQueue;
pub use stage_work::StageWork;
pub use stand_in::{StandIn, WorkFn};
pub use stand_in_handle::StandInHandle;
pub use token_stamp::{stamp_age, stamp_now};
pub use weight_store::WeightStore;

//! Stand-ins for engines, pools, plain services and the weight store, for the demo, benchmarks and tests.
//!
//! They simulate the time and the output of calls and run no model.

mod announcer;
mod call_log;
mod engine;
mod faults;
mod service;
mod slot_queue;
mod stage_work;
mod stand_in;
mod token_stamp;
mod weight_store;

pub use call_log::{CallLog, CallRecord};
pub use engine::{EngineSpeed, engine_work};
pub use faults::Faults;
pub use service::{lookup_work, order_work, pool_work};
pub use slot_queue::SlotQueue;
pub use stage_work::StageWork;
pub use stand_in::{StandIn, StandInHandle, WorkFn};
pub use token_stamp::{stamp_age, stamp_now};
pub use weight_store::WeightStore;

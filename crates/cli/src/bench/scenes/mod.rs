//! The scenes, each with hosts, workers and stand-ins in this process.

mod faults;
mod overhead;
mod single_host;
mod throughput;
mod tokens;

pub use faults::measure_faults;
pub use overhead::measure_overhead;
pub use throughput::measure_throughput;
pub use tokens::measure_tokens;

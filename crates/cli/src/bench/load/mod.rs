//! Load on real connections: open and closed loops, and what the callers see.

mod caller;
mod closed_loop;
mod latency_histogram;
mod open_loop;
mod pacer;
mod runtime_thread;
mod stream_delay;
mod thread_cpu;

pub use caller::{Caller, direct_call};
pub use closed_loop::{LoopCount, closed_loop};
pub use latency_histogram::LatencyHistogram;
pub use open_loop::{OpenLoop, open_loop};
pub use pacer::start_pacer;
pub use runtime_thread::RuntimeThread;
pub use stream_delay::read_timed_stream;
pub use thread_cpu::thread_cpu;

//! Measures hosts on real loopback connections, against the stated targets.

mod bench_error;
mod bench_options;
mod deployment;
mod load;
mod report;
mod run;
mod scene_name;
mod scenes;

pub use bench_error::BenchError;
pub use bench_options::BenchOptions;
pub use report::{BenchReport, Figure, Target, Verdict, format_bench_table};
pub use run::run_bench;
pub use scene_name::{ParseSceneError, SceneName};

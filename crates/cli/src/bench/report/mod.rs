//! The figures of a measurement and how they are printed.

mod bench_report;
mod figure;
mod table;
mod target;
mod verdict;

pub use bench_report::BenchReport;
pub use figure::Figure;
pub use table::format_bench_table;
pub use target::Target;
pub use verdict::Verdict;

#[cfg(test)]
mod tests;

//! Measures the decisions of this package with a queueing model in virtual time.
//!
//! Prints attainment, calls per request and latencies for a few scenes, beside round robin with plain
//! retries, and the time that the decisions take. It measures decisions; it is no simulator of the
//! cluster.

mod call;
mod decisions;
mod engine;
mod event;
mod fault;
mod host;
mod model;
mod outcome;
mod report;
mod request;
mod request_record;
mod run_stats;
mod scenario;
mod timing;

use std::process::ExitCode;

/// Which decisions a run uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// The functions of this package.
    Policy,
    /// Round robin, a queue without bounds, and up to three attempts without budget.
    Baseline,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let seed = match args.as_slice() {
        [] => Some(1),
        [flag, seed] if flag == "--seed" => seed.parse().ok(),
        _ => None,
    };
    let Some(seed) = seed else {
        eprintln!("usage: policy_bench [--seed NUMBER]");
        return ExitCode::FAILURE;
    };
    report::print_header(seed);
    for scenario in scenario::scenarios() {
        for mode in [Mode::Policy, Mode::Baseline] {
            report::print_row(&scenario, mode, &model::run(&scenario, mode, seed));
        }
    }
    timing::print();
    ExitCode::SUCCESS
}

//! Evaluates the decision functions of this package with a queueing model in virtual time.
//!
//! For each scenario, prints attainment, calls per request and latencies of the policy and of a
//! baseline (round robin with plain retries), then the execution time of the decision functions. The
//! model covers the decisions only; it does not simulate the network or the control plane of a
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

/// Decision functions used in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Functions of this package.
    Policy,
    /// Round robin, no admission control, and up to three attempts per stage without a budget.
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

//! Attainment under faults: three hosts with the policy, beside a balancer without one.

mod balancer;
mod case_traces;
mod fault_case;
mod fault_fleet;
mod measure;

pub use measure::measure_faults;

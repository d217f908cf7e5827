use masticstair_core::prelude::*;
use masticstair_net::runtime::block_on;
use std::collections::HashMap;
use std::rc::Rc;

use super::balancer::replay_balanced;
use super::case_traces::{GREEDY, allowed_share, make_trace};
use super::fault_case::FaultCase;
use super::fault_fleet::FaultFleet;
use crate::bench::{BenchError, Figure, SceneName, Target};
use crate::replay::{CallOutcome, CallResult, ReplayOptions, attained, replay};
use crate::trace::TraceRecord;

/// Requests a second that the engines can answer: 12 engines with 2 slots and 3, 6 or 12 ms a token make
/// 4,667 tokens a second; 55 of 100 requests generate 21 tokens on average, and two token times go to the
/// prompt and the first token.
const CAPACITY: f64 = 4_667.0 / (0.55 * 23.0);
/// Calls for each stage of the answered requests, at the most.
const CALLS_PER_STAGE: f64 = 1.1;

/// Measures every case with the hosts, then with the balancer.
pub fn measure_faults(seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = Vec::new();
    for case in FaultCase::ALL {
        let records = make_trace(case, CAPACITY, seed);
        let balanced = measure_balancer(case, &records)?;
        figures.extend(measure_hosts(case, &records, balanced)?);
        let what = "attainment of the balancer, of all requests";
        figures.push(figure(case, what, "share", Target::None, balanced));
    }
    Ok(figures)
}

fn figure(case: FaultCase, what: &str, unit: &'static str, target: Target, value: f64) -> Figure {
    Figure::new(SceneName::Faults, format!("{}: {what}", case.as_str()), unit, target, value)
}

fn measure_hosts(
    case: FaultCase,
    records: &Rc<[TraceRecord]>,
    balanced: f64,
) -> Result<Vec<Figure>, BenchError> {
    let hosts = FaultFleet::start_hosts()?;
    let (fleet, results) = block_on(async {
        let fleet = FaultFleet::start(hosts, case).await?;
        fleet.apply(case);
        let tokens = fleet.bundle.accounts.iter();
        let tokens: HashMap<AccountId, Box<str>> =
            tokens.map(|a| (a.id.clone(), format!("example-{}", a.id).into())).collect();
        let targets = fleet.hosts.iter().map(|h| h.workers.addr).collect();
        let results = replay(records.clone(), ReplayOptions { targets, tokens }, |_, _| {}).await;
        Ok::<_, BenchError>((fleet, results))
    })??;
    let calls = fleet.calls();
    let stages = stages_answered(&fleet, records, &results);
    for host in fleet.hosts.into_iter().rev() {
        host.stop();
    }
    let share = attainment(case, records, |n| attained(&records[n], &results[n]));
    // Queued work goes on after the burst, so capacity allows at least what the balancer attains.
    let allowed = allowed_share(case, CAPACITY, records.len()).max(balanced);
    let of_allowed = if case == FaultCase::Burst { share / allowed } else { share };
    let late = results.iter().map(|r| lateness(&records[r.record], r)).max().unwrap_or_default();
    let calls = calls as f64 / stages.max(1) as f64;
    let target = Target::AtLeast(case.target());
    Ok(vec![
        figure(case, "attainment", "share", target, of_allowed),
        figure(case, "attainment of all requests", "share", Target::None, share),
        figure(case, "calls a stage", "calls", Target::AtMost(CALLS_PER_STAGE), calls),
        figure(case, "latest answer after its deadline", "ms", Target::None, late as f64),
    ])
}

fn measure_balancer(case: FaultCase, records: &Rc<[TraceRecord]>) -> Result<f64, BenchError> {
    let hosts = FaultFleet::start_hosts()?;
    let (fleet, met) = block_on(async {
        let fleet = Rc::new(FaultFleet::start(hosts, case).await?);
        fleet.apply(case);
        let met = replay_balanced(fleet.clone(), records.clone()).await;
        Ok::<_, BenchError>((fleet, met))
    })??;
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        fleet.hosts.into_iter().rev().for_each(crate::demo::DemoHost::stop);
    }
    Ok(attainment(case, records, |n| met[n]))
}

/// Returns the share that was answered in time; of the other accounts when one sends too much.
fn attainment(case: FaultCase, records: &[TraceRecord], met: impl Fn(usize) -> bool) -> f64 {
    let counted = |n: &usize| case != FaultCase::Account || records[*n].account.as_str() != GREEDY;
    let numbers: Vec<usize> = (0..records.len()).filter(counted).collect();
    numbers.iter().filter(|n| met(**n)).count() as f64 / numbers.len().max(1) as f64
}

fn stages_answered(fleet: &FaultFleet, records: &[TraceRecord], results: &[CallResult]) -> usize {
    let whole = results
        .iter()
        .filter(|r| matches!(r.outcome, CallOutcome::Complete { replayed: false, .. }));
    let stages = whole.filter_map(|r| fleet.bundle.pipeline(&records[r.record].pipeline));
    stages.map(|p| p.stages.len()).sum()
}

/// Returns by how many milliseconds an answer came after its deadline.
fn lateness(record: &TraceRecord, result: &CallResult) -> u64 {
    result.latency.get().saturating_sub(record.deadline_ms.get())
}

//! A balancer without a policy, as a baseline: endpoints in turn, up to two retries.

use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::bundle::Stage;
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use monoio::time::{Instant, sleep_until};
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;

use super::fault_fleet::FaultFleet;
use crate::trace::TraceRecord;

/// Calls of a stage beyond the first.
const RETRIES: u32 = 2;

/// Sends the trace past the hosts; returns for each record whether it was answered in time.
pub(super) async fn replay_balanced(
    fleet: Rc<FaultFleet>,
    records: Rc<[TraceRecord]>,
) -> Vec<bool> {
    let pool = ConnectionPool::new(ClientLimits::default());
    let turn = Rc::new(Cell::new(0));
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(records.len());
    for number in 0..records.len() {
        let planned = start + records[number].at_ms.duration();
        sleep_until(planned).await;
        let (fleet, records) = (fleet.clone(), records.clone());
        let (pool, turn) = (pool.clone(), turn.clone());
        tasks.push(monoio::spawn(async move {
            let record = &records[number];
            let run = run_record(&fleet, &pool, &turn, record);
            let left = (planned + record.deadline_ms.duration()) - Instant::now();
            monoio::time::timeout(left, run).await.unwrap_or(false)
        }));
    }
    let mut attained = Vec::with_capacity(records.len());
    for task in tasks {
        attained.push(task.await);
    }
    attained
}

async fn run_record(
    fleet: &FaultFleet,
    pool: &ConnectionPool,
    turn: &Cell<usize>,
    record: &TraceRecord,
) -> bool {
    let Some(pipeline) = fleet.bundle.pipeline(&record.pipeline) else { return false };
    let mut input = record.body.clone();
    for stage in &pipeline.stages {
        let Some(output) = run_stage(fleet, pool, turn, record, stage, &input).await else {
            return false;
        };
        input = json!({ "request": record.body, "previous": output });
    }
    true
}

async fn run_stage(
    fleet: &FaultFleet,
    pool: &ConnectionPool,
    turn: &Cell<usize>,
    record: &TraceRecord,
    stage: &Stage,
    input: &Value,
) -> Option<Value> {
    let (_, replicas) = fleet.pools.iter().find(|(name, _)| *name == stage.pool)?;
    for attempt in 0..=RETRIES {
        turn.set(turn.get().wrapping_add(1));
        let run = json!({
            "request_id": RequestId::random(), "attempt_id": attempt, "pipeline": record.pipeline,
            "stage": stage.name, "kind": stage.kind, "account": record.account, "input": input,
            "stream": false,
        });
        let call = Call {
            addr: replicas[turn.get() % replicas.len()].addr,
            method: Method::POST,
            path: "/v1/run".into(),
            headers: HeaderMap::new(),
            body: Bytes::from(run.to_string()),
            timeout: record.deadline_ms,
            reuse: true,
        };
        if let Ok((head, body)) = pool.fetch(call).await
            && head.status.is_success()
        {
            let answer: Value = serde_json::from_slice(&body).ok()?;
            return answer.get("output").cloned();
        }
    }
    None
}

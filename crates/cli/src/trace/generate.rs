use masticstair_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::time::Duration;
use uuid::{Builder, Uuid};

use super::{Expectation, PipelineUse, TraceProfile, TraceRecord};

/// How long a burst and the quiet time before it last together.
const BURST_CYCLE: Duration = Duration::from_secs(5);
/// How long a burst lasts.
const BURST_LENGTH: Duration = Duration::from_secs(1);
/// How much higher the rate is in a burst.
const BURST_FACTOR: f64 = 2.0;
/// How many of 100 requests under a key are sent a second time, as after a lost answer.
const REPEAT_PERCENT: u32 = 20;
/// How long a caller waits before the second time.
const REPEAT_AFTER: Millis = Millis::new(700);
/// Prompts that many requests share.
const SHARED_PREFIXES: u32 = 8;

/// What a trace is made of.
#[derive(Clone, Copy, Debug)]
pub struct TraceOptions {
    /// The same seed gives the same trace.
    pub seed: u64,
    /// How long the trace is.
    pub length: Millis,
    /// Requests a second outside bursts.
    pub rate: RatePerSecond,
}

/// Makes a trace with bursts, a few large accounts, shared prefixes, and repeats under the same key.
pub fn generate_trace(profile: &TraceProfile, options: TraceOptions) -> Vec<TraceRecord> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut records = Vec::new();
    let mut at = 0.0;
    loop {
        let rate = options.rate.get() * burst_factor(at);
        // The gaps of a Poisson process are distributed exponentially.
        at += -rng.random::<f64>().max(1e-12).ln() / rate.max(1e-9) * 1_000.0;
        if at >= options.length.get() as f64 {
            break;
        }
        let record = make_record(profile, &mut rng, Millis::new(at as u64), records.len());
        let repeat = record.key.is_some() && rng.random_range(0..100) < REPEAT_PERCENT;
        if repeat {
            let at_ms = Millis::new(record.at_ms.get() + REPEAT_AFTER.get());
            records.push(TraceRecord { at_ms, ..record.clone() });
        }
        records.push(record);
    }
    records.sort_by_key(|r| r.at_ms);
    records
}

fn burst_factor(at_ms: f64) -> f64 {
    let in_cycle = at_ms % BURST_CYCLE.as_millis() as f64;
    let quiet = (BURST_CYCLE - BURST_LENGTH).as_millis() as f64;
    if in_cycle >= quiet { BURST_FACTOR } else { 1.0 }
}

fn make_record(
    profile: &TraceProfile,
    rng: &mut StdRng,
    at_ms: Millis,
    number: usize,
) -> TraceRecord {
    let pipeline = pick(rng, &profile.pipelines, |p| p.share.get());
    let account = pick(rng, &profile.accounts, |a| a.1.get()).0.clone();
    let topic = format!("{}-{number}", pipeline.name);
    let prefix = rng.random_range(0..SHARED_PREFIXES);
    let tokens = draw_tokens(rng, pipeline);
    let body = json!({ "topic": topic, "prefix": format!("guideline {prefix}"), "tokens": tokens });
    TraceRecord {
        at_ms,
        pipeline: pipeline.name.clone(),
        account,
        deadline_ms: pipeline.deadline,
        stream: pipeline.stream,
        key: pipeline.once.then(|| draw_key(rng)).flatten(),
        body,
        marker: (!pipeline.once).then(|| topic.into()),
        expect: Expectation::Complete,
    }
}

/// Draws between half and one and a half times the average.
fn draw_tokens(rng: &mut StdRng, pipeline: &PipelineUse) -> u64 {
    let average = pipeline.tokens.get();
    rng.random_range(average / 2..=average + average / 2)
}

/// Draws a key of 128 random bits in the form of a UUIDv4.
fn draw_key(rng: &mut StdRng) -> Option<IdempotencyKey> {
    let uuid: Uuid = Builder::from_random_bytes(rng.random()).into_uuid();
    uuid.to_string().parse().ok()
}

/// Picks an item by weight. `items` is not empty and has a weight above 0.
fn pick<'a, T>(rng: &mut StdRng, items: &'a [T], weight: impl Fn(&T) -> u32) -> &'a T {
    let total: u32 = items.iter().map(&weight).sum();
    let mut left = rng.random_range(0..total);
    for item in items {
        let share = weight(item);
        if left < share {
            return item;
        }
        left -= share;
    }
    &items[items.len() - 1]
}

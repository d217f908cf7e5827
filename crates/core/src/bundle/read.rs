//! Reads the tables of a bundle and checks each value by itself.

use std::collections::HashMap;

use super::{Account, Bundle, Limits, Model, Pipeline, Pool, Signer, Stage, StageKind};
use crate::toml_reader::TomlReader;
use crate::unit::{ByteCount, Millis, RatePerSecond, Sha256Digest, Slots, Weight};

/// The upper bound of a pipeline's `deadline_ms` and `max_deadline_ms`.
const MAX_DEADLINE_MS: u64 = 600_000;
const DAY_MS: u64 = 86_400_000;

pub(super) fn read_bundle(r: &TomlReader<'_>, digest: Sha256Digest) -> Option<Bundle> {
    let version = r.text("version");
    let signers = r.tables("signers", read_signer);
    let models = r.tables("models", read_model);
    let pools = r.tables("pools", read_pool);
    let services = r.tables("services", read_service);
    let pipelines = r.tables("pipelines", read_pipeline);
    let accounts = r.tables("accounts", read_account);
    let limits = r.table("limits", read_limits);
    let mut pools = pools?;
    pools.extend(services?);
    Some(Bundle {
        version: version?,
        signers: signers?,
        models: models?,
        pools,
        pipelines: pipelines?,
        accounts: accounts?,
        limits: limits?,
        digest,
        accounts_by_token: HashMap::new(),
        pipelines_by_name: HashMap::new(),
    })
}

fn read_signer(r: &TomlReader<'_>) -> Option<Signer> {
    let name = r.text("name");
    let key = r.text("key");
    let may = r.texts("may");
    Some(Signer { name: name?, key: key?, may: may?.into() })
}

fn read_model(r: &TomlReader<'_>) -> Option<Model> {
    let name = r.text("name");
    let version = r.text("version");
    let min_ready = r.number_or("min_ready", 0..=100_000, 1);
    Some(Model { name: name?, version: version?, min_ready: Slots::new(min_ready? as u32) })
}

fn read_pool(r: &TomlReader<'_>) -> Option<Pool> {
    let name = r.text("name");
    let kind = r.text("kind");
    let checks_fencing = r.flag_or("checks_fencing", false);
    Some(Pool { name: name?, kind: kind?, checks_fencing: checks_fencing? })
}

fn read_service(r: &TomlReader<'_>) -> Option<Pool> {
    let name = r.text("name");
    Some(Pool { name: name?, kind: StageKind::Service, checks_fencing: false })
}

fn read_pipeline(r: &TomlReader<'_>) -> Option<Pipeline> {
    let name = r.text("name");
    let deadline = r.number("deadline_ms", 1..=MAX_DEADLINE_MS);
    let max_deadline = r.number_or("max_deadline_ms", 1..=MAX_DEADLINE_MS, deadline.unwrap_or(1));
    let stages = r.tables("stages", read_stage);
    Some(Pipeline {
        name: name?,
        deadline: Millis::new(deadline?),
        max_deadline: Millis::new(max_deadline?),
        stages: stages?,
    })
}

fn read_stage(r: &TomlReader<'_>) -> Option<Stage> {
    let name = r.text("name");
    let kind = r.text("kind");
    let pool = r.text("pool");
    let model = r.optional_text("model");
    let idempotent = r.flag_or("idempotent", true);
    Some(Stage { name: name?, kind: kind?, pool: pool?, model: model?, idempotent: idempotent? })
}

fn read_account(r: &TomlReader<'_>) -> Option<Account> {
    let id = r.text("id");
    let token = r.text("token_sha256");
    let weight = r.number_or("weight", 1..=1_000, 1);
    let rate = r.non_negative("rate_per_s");
    let burst = r.number_or("burst", 1..=1_000_000, 100);
    let concurrency = r.number("concurrency", 1..=1_000_000);
    Some(Account {
        id: id?,
        token: token?,
        weight: Weight::new(weight? as u32),
        rate: RatePerSecond::try_from(rate?).ok()?,
        burst: Slots::new(burst? as u32),
        concurrency: Slots::new(concurrency? as u32),
    })
}

fn read_limits(r: &TomlReader<'_>) -> Option<Limits> {
    let hosts = r.number_or("hosts", 1..=1_000, 8);
    let retry_percent = r.number_or("retry_percent", 0..=10, 10);
    let retention = r.number_or("run_once_retention_ms", 60_000..=400 * DAY_MS, 7 * DAY_MS);
    let records = r.number_or("run_once_records", 1..=10_000_000, 200_000);
    let answer = r.number_or("run_once_answer_bytes", 256..=1_048_576, 16_384);
    let expired_keys = r.number_or("expired_keys", 0..=10_000_000, 1_000_000);
    let loads = r.number_or("weight_loads_per_minute", 1..=100_000, 10);
    Some(Limits {
        hosts: hosts? as u32,
        retry_percent: retry_percent? as u8,
        run_once_retention: Millis::new(retention?),
        run_once_records: records? as u32,
        run_once_answer: ByteCount::new(answer?),
        expired_keys: expired_keys? as u32,
        weight_loads_per_minute: loads? as u32,
    })
}

//! Checks of a bundle whose values are valid by themselves: unique names, references between tables and
//! rules of accounts, signers and pipelines.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;

use super::{Bundle, Pipeline, Stage, StageKind};
use crate::toml_reader::{FieldError, FieldErrors};

/// With more stages, too little of the shared deadline is left for each.
const MAX_STAGES: usize = 8;

pub(super) fn check_bundle(bundle: &Bundle) -> Result<(), FieldErrors> {
    let mut errors = Vec::new();
    check_unique(&mut errors, "signers.name", bundle.signers.iter().map(|s| &s.name));
    check_unique(&mut errors, "models.name", bundle.models.iter().map(|m| &m.name));
    check_unique(&mut errors, "pools.name", bundle.pools.iter().map(|p| &p.name));
    check_unique(&mut errors, "pipelines.name", bundle.pipelines.iter().map(|p| &p.name));
    check_unique(&mut errors, "accounts.id", bundle.accounts.iter().map(|a| &a.id));
    check_unique(&mut errors, "accounts.token_sha256", bundle.accounts.iter().map(|a| &a.token));
    for signer in bundle.signers.iter().filter(|s| s.may.is_empty()) {
        let key = format!("signers.{}.may", signer.name);
        errors.push(FieldError::new(&key, "[]", "at least one of submit, sign-off and roll"));
    }
    for account in bundle.accounts.iter().filter(|a| a.rate.get() == 0.0) {
        let key = format!("accounts.{}.rate_per_s", account.id);
        errors.push(FieldError::new(&key, 0, "a rate above 0, or the account can send nothing"));
    }
    for pipeline in &bundle.pipelines {
        check_pipeline(&mut errors, bundle, pipeline);
    }
    if errors.is_empty() { Ok(()) } else { Err(FieldErrors(errors)) }
}

fn check_unique<T: Display + Eq + Hash>(
    errors: &mut Vec<FieldError>,
    key: &str,
    values: impl Iterator<Item = T>,
) {
    let mut seen = HashSet::new();
    for value in values {
        let text = value.to_string();
        if !seen.insert(value) {
            errors.push(FieldError::new(key, text, "a value that no other entry has"));
        }
    }
}

fn check_pipeline(errors: &mut Vec<FieldError>, bundle: &Bundle, pipeline: &Pipeline) {
    let key = format!("pipelines.{}", pipeline.name);
    let count = pipeline.stages.len();
    if count == 0 || count > MAX_STAGES {
        let allowed = format!("1 to {MAX_STAGES} stages");
        errors.push(FieldError::new(&format!("{key}.stages"), count, allowed));
    }
    if pipeline.deadline > pipeline.max_deadline {
        let allowed = format!("at most max_deadline_ms ({})", pipeline.max_deadline);
        errors.push(FieldError::new(&format!("{key}.deadline_ms"), pipeline.deadline, allowed));
    }
    check_unique(errors, &format!("{key}.stages.name"), pipeline.stages.iter().map(|s| &s.name));
    let non_idempotent = pipeline.stages.iter().filter(|s| !s.idempotent).count();
    if non_idempotent > 1 {
        // If a second non-idempotent call failed, the effects of the first would have to be undone.
        let allowed = "at most one stage with idempotent = false";
        errors.push(FieldError::new(&format!("{key}.stages"), non_idempotent, allowed));
    }
    for stage in &pipeline.stages {
        check_stage(errors, bundle, &format!("{key}.stages.{}", stage.name), stage);
    }
}

fn check_stage(errors: &mut Vec<FieldError>, bundle: &Bundle, key: &str, stage: &Stage) {
    match bundle.pool(&stage.pool) {
        None => {
            errors.push(FieldError::new(
                &format!("{key}.pool"),
                &stage.pool,
                "a pool of the bundle",
            ));
        }
        Some(pool) if pool.kind != stage.kind => {
            let allowed = format!("a pool of kind {} (this one is {})", stage.kind, pool.kind);
            errors.push(FieldError::new(&format!("{key}.pool"), &stage.pool, allowed));
        }
        Some(_) => {}
    }
    let key = format!("{key}.model");
    match (&stage.model, stage.kind) {
        (None, StageKind::Generate) => {
            errors.push(FieldError::new(&key, "(none)", "a model, since the stage generates"));
        }
        (Some(model), StageKind::Service) => {
            errors.push(FieldError::new(
                &key,
                model,
                "no model, since the stage is a plain service",
            ));
        }
        (Some(model), _) if bundle.model(model).is_none() => {
            errors.push(FieldError::new(&key, model, "a model of the bundle"));
        }
        _ => {}
    }
}

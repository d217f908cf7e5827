use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use masticstair_policy::evacuations::{
    EvacuationAction, EvacuationOrder, EvacuationReply, MAX_DATA_CENTRES,
};
use slog::{info, warn};
use std::time::Duration;

use super::{ControlHost, EvacuationError, EvacuationOutcome};
use crate::Gateway;

/// How long an order waits until the subscribers know of it.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(400);

/// An order that was durable late waits for no confirmation after this time: operators try another host after 1 s.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

/// Carries out an order of an operator. On a control host it completes when all subscribers in touch obey it, or after
/// `CONFIRMATION_WAIT`.
///
/// `after` is the revision that the operator saw, if it states one. A data centre that this host does not know is accepted: often nobody hears from a data centre when it is to be
/// evacuated, and a control host that has just started then knows nothing of it.
pub(crate) async fn order_evacuation(
    gw: &Gateway,
    control: Option<&ControlHost>,
    data_centre: DataCentreId,
    action: EvacuationAction,
    after: Option<EvacuationRevision>,
) -> Result<EvacuationOutcome, EvacuationError> {
    let arrived = gw.now();
    let (revision, changed) = match store_order(gw, &data_centre, action, after).await {
        Ok(stored) => stored,
        Err(e) => {
            warn!(gw.log, "evacuation order not acknowledged"; "evacuated" => %data_centre,
                "action" => %action, "reason" => %e,
                "took_ms" => gw.now().since(arrived).as_millis() as u64);
            return Err(e);
        }
    };
    let stored_at = gw.now();
    let unconfirmed = match control {
        Some(control) => {
            let until = stored_at.plus(CONFIRMATION_WAIT).min(arrived.plus(ANSWER_LIMIT));
            wait_for_subscribers(gw, control, revision, until).await
        }
        None => 0,
    };
    let outcome = EvacuationOutcome {
        is_evacuated: action == EvacuationAction::Begin,
        revision,
        changed,
        is_known: gw.knows_data_centre(&data_centre),
        unconfirmed,
        unserved: gw.unserved_services(),
        data_centre,
    };
    let took = gw.now().since(arrived);
    gw.metrics.evacuation_acknowledged.observe(took.as_secs_f64());
    info!(gw.log, "evacuation order acknowledged"; "evacuated" => %outcome.data_centre,
        "action" => %action, "revision" => %revision, "changed" => changed,
        "known" => outcome.is_known, "unconfirmed" => unconfirmed,
        "unserved" => outcome.unserved.len(),
        "stored_ms" => stored_at.since(arrived).as_millis() as u64,
        "took_ms" => took.as_millis() as u64);
    Ok(outcome)
}

/// Stores an order durably; returns the revision of the data centre, and whether the order changed it.
async fn store_order(
    gw: &Gateway,
    data_centre: &DataCentreId,
    action: EvacuationAction,
    after: Option<EvacuationRevision>,
) -> Result<(EvacuationRevision, bool), EvacuationError> {
    if gw.pause_watch.get().may_be_late(gw.now()) {
        return Err(EvacuationError::Paused);
    }
    let order = EvacuationOrder {
        data_centre: data_centre.clone(),
        action,
        after: after.unwrap_or_else(|| gw.evacuations.borrow().revision()),
        proposed_at: gw.wall(),
    };
    match (gw.evacuation_store.order)(order).await? {
        EvacuationReply::Changed(revision) => Ok((revision, true)),
        EvacuationReply::Held(revision) => Ok((revision, false)),
        EvacuationReply::Outdated(_) => Err(EvacuationError::Outdated(data_centre.clone())),
        EvacuationReply::Full => Err(EvacuationError::Full(MAX_DATA_CENTRES)),
    }
}

/// Waits until this host and all subscribers in touch obey a change; returns how many did not in time.
async fn wait_for_subscribers(
    gw: &Gateway,
    control: &ControlHost,
    revision: EvacuationRevision,
    until: Timestamp,
) -> usize {
    loop {
        let now = gw.now();
        let is_own_behind = gw.evacuations.borrow().revision() < revision;
        let behind = control.listing_confirmations.borrow().count_behind_evacuations(now, revision);
        let left = until.since(now);
        if (behind == 0 && !is_own_behind) || left.is_zero() {
            return behind + usize::from(is_own_behind);
        }
        control.confirmed.notified(left).await;
    }
}

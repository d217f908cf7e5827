use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use crate::Gateway;
use crate::cold_permit::request_cold_permit;
use crate::permission::Permission;
use crate::stages::dispatch_all;

/// Permits for calls of stages to cold endpoints. The host that forms the calls asks for them ahead, because it does not
/// wait for an answer between two calls.
#[derive(Debug, Default)]
pub(crate) struct StagePermits {
    /// How long each permit may be used.
    granted: RefCell<HashMap<EndpointId, Timestamp>>,
    /// The endpoints that a permit is being asked for.
    asked: RefCell<HashSet<EndpointId>>,
}

/// Returns whether a call may be sent to an endpoint now, and uses up its permit if the endpoint is cold. Without a permit,
/// asks for one; the waiting items are dispatched once it is given.
pub(crate) fn take_stage_permit(gw: &Rc<Gateway>, endpoint: &Arc<ServingEndpoint>) -> bool {
    let Some(budget) = gw.cold_budget(endpoint) else { return true };
    let granted = gw.stage_permits.granted.borrow_mut().remove(&endpoint.id);
    if granted.is_some_and(|until| gw.now() < until) {
        return true;
    }
    if !gw.permit_wait(endpoint).is_zero()
        || !gw.stage_permits.asked.borrow_mut().insert(endpoint.id.clone())
    {
        return false;
    }
    let (gw, endpoint) = (gw.clone(), endpoint.clone());
    monoio::spawn(async move {
        let permission = request_cold_permit(&gw, &endpoint, budget).await;
        gw.stage_permits.asked.borrow_mut().remove(&endpoint.id);
        if let Permission::Granted(until) = permission {
            gw.stage_permits.granted.borrow_mut().insert(endpoint.id.clone(), until);
            dispatch_all(&gw);
        }
    });
    false
}

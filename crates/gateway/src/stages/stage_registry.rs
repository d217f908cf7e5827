use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use super::service_stages::ServiceStages;

/// The stages that this host runs, by service.
#[derive(Default)]
pub struct StageRegistry {
    services: RefCell<HashMap<ServiceName, Rc<ServiceStages>>>,
}

impl StageRegistry {
    pub(crate) fn service_of(&self, service: &ServiceName) -> Rc<ServiceStages> {
        let mut services = self.services.borrow_mut();
        let new = || Rc::new(ServiceStages::new(service.clone()));
        services.entry(service.clone()).or_insert_with(new).clone()
    }

    /// Returns whether stages are in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.services.borrow().values().any(|stages| !stages.jobs.borrow().is_empty())
    }

    pub(super) fn all(&self) -> Vec<Rc<ServiceStages>> {
        self.services.borrow().values().cloned().collect()
    }
}

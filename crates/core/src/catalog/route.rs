use smallvec::SmallVec;
use std::collections::HashMap;

use super::{CatalogError, PipelineStage, RouteKind, Service, Target};
use crate::id::{RouteName, ServiceName};
use crate::unit::{Draw, Millis, Slots};

/// Where requests with a host and the beginning of a path go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host that requests name.
    pub host: Box<str>,
    /// The beginning of the path.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long a request may be kept waiting; above 0.
    pub timeout: Millis,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Millis,
    /// The longest pause between the events of a stream that is on time.
    pub max_event_gap: Option<Millis>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// At least one.
    pub targets: SmallVec<[Target; 2]>,
    /// Endpoints that one attempt may run on; at least 1.
    pub max_attempts: Slots,
    /// Stages that come before.
    pub stages: SmallVec<[PipelineStage; 4]>,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Checks a route against the services of its catalog.
    pub(super) fn check(
        &self,
        services: &HashMap<ServiceName, Service>,
    ) -> Result<(), CatalogError> {
        let target_services = self.targets.iter().map(|t| &t.service);
        let mut services_used = target_services.chain(self.stages.iter().map(|s| &s.service));
        if let Some(service) = services_used.find(|s| !services.contains_key(*s)) {
            let (route, service) = (self.name.clone(), service.clone());
            return Err(CatalogError::UnknownService { route, service });
        }
        if self.targets.iter().map(|t| u64::from(t.weight.get())).sum::<u64>() == 0 {
            return Err(CatalogError::NoWeight(self.name.clone()));
        }
        if self.timeout == Millis::new(0) {
            return Err(CatalogError::NoTimeout(self.name.clone()));
        }
        for (index, stage) in self.stages.iter().enumerate() {
            if stage.after.iter().any(|after| *after >= index) {
                return Err(CatalogError::StageOrder { route: self.name.clone(), stage: index });
            }
        }
        Ok(())
    }

    /// Returns how many endpoints one attempt of a client may run on.
    pub fn max_runs(&self) -> u32 {
        if self.kind.is_repeatable() { self.max_attempts.get().max(1) } else { 1 }
    }

    /// Picks the service of one request by the weights.
    pub fn pick_target(&self, draw: Draw) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight.get())).sum();
        let mut remaining = (draw.fraction() * total as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight.get());
            if remaining < weight {
                return &target.service;
            }
            remaining -= weight;
        }
        // The draw is below 1, so only rounding leads here.
        &self.targets[self.targets.len() - 1].service
    }
}

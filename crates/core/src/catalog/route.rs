use smallvec::SmallVec;
use std::collections::HashMap;

use super::{CatalogError, PipelineStage, RouteKind, Service, Target};
use crate::id::{RouteName, ServiceName};
use crate::unit::{Draw, Millis, Slots};

/// A rule that sends requests for an HTTP host and a path prefix to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// Identifies the route in errors and logs.
    pub name: RouteName,
    /// The HTTP host of the requests, without a port and in lower case; not a host of the deployment.
    pub host: Box<str>,
    /// Matched with the beginning of the path, without regard to segments.
    pub prefix: Box<str>,
    /// Determines whether a request may be retried and whether its answer is a stream.
    pub kind: RouteKind,
    /// The upper bound of a request's timeout; above 0.
    pub timeout: Millis,
    /// The latency objective of an answer, or of the first event of a stream.
    pub objective: Millis,
    /// The longest time between two events of a stream that is on time. The gateway applies a default if it
    /// is `None`.
    pub max_event_gap: Option<Millis>,
    /// 0 is the most urgent; an account's priority takes precedence.
    pub priority: u8,
    /// At least one, with weights that do not add up to 0.
    pub targets: SmallVec<[Target; 2]>,
    /// The maximum number of endpoints on which a request may run per `CallId`; 0 is treated as 1. An attempt
    /// that certainly did not run is not counted. Ignored if the kind is not repeatable.
    pub max_attempts: Slots,
    /// Stages that run before the request, in an order that satisfies their dependencies.
    pub stages: SmallVec<[PipelineStage; 4]>,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Validates the route against the services of its catalog.
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

    /// Returns the maximum number of endpoints on which a request may run per `CallId`; at least 1.
    pub fn max_runs(&self) -> u32 {
        if self.kind.is_repeatable() { self.max_attempts.get().max(1) } else { 1 }
    }

    /// Picks the service of one request at random, in proportion to the weights.
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
        // The fraction is below 1, so only rounding can lead here.
        &self.targets[self.targets.len() - 1].service
    }
}

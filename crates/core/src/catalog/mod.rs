//! The catalog: routes, services and client accounts of a deployment that other systems administer.
//!
//! Operators replace it as a whole. The front end defines the format of the document and parses it; hosts
//! store and exchange the document as it was submitted.

mod account_keys;
mod batch_limits;
mod catalog_document;
mod catalog_error;
mod client_account;
mod client_limits;
mod cold_limits;
mod engine_limits;
mod pipeline_stage;
mod route;
mod route_kind;
mod service;
mod target;

pub use account_keys::AccountKeys;
pub use batch_limits::BatchLimits;
pub use catalog_document::CatalogDocument;
pub use catalog_error::CatalogError;
pub use client_account::ClientAccount;
pub use client_limits::ClientLimits;
pub use cold_limits::ColdLimits;
pub use engine_limits::EngineLimits;
pub use pipeline_stage::PipelineStage;
pub use route::Route;
pub use route_kind::RouteKind;
pub use service::Service;
pub use target::Target;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::id::{CatalogVersion, ServiceName};

/// A validated catalog.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Given in the document; increases with every change.
    pub version: CatalogVersion,
    /// No two routes have the same HTTP host and prefix; every service that a route names is in `services`.
    pub routes: Box<[Arc<Route>]>,
    /// Includes services that no route names.
    pub services: HashMap<ServiceName, Service>,
    /// Empty if requests need no key.
    pub accounts: AccountKeys,
    /// Apply to all client connections.
    pub limits: ClientLimits,
    /// Indices into `routes` by HTTP host, sorted by descending length of the prefix.
    by_host: HashMap<Box<str>, Vec<usize>>,
}

impl Catalog {
    /// Validates the parts of a catalog and builds its indices.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn new(
        version: CatalogVersion,
        routes: Box<[Route]>,
        services: Vec<Service>,
        accounts: Vec<ClientAccount>,
        limits: ClientLimits,
    ) -> Result<Self, CatalogError> {
        let accounts = AccountKeys::new(accounts)?;
        let services: HashMap<_, _> = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let mut host_prefixes = HashSet::new();
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            route.check(&services)?;
            if !host_prefixes.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(CatalogError::DuplicateRoute { host, prefix });
            }
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let routes = routes.into_iter().map(Arc::new).collect();
        Ok(Self { version, routes, services, accounts, limits, by_host })
    }

    /// Returns the route of an HTTP host with the longest prefix that matches the path. The host is compared
    /// byte by byte, so the caller converts it to lower case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indices = self.by_host.get(host)?;
        let matches = |route: &&Arc<Route>| path.starts_with(&*route.prefix);
        indices.iter().map(|index| &self.routes[*index]).find(matches)
    }
}

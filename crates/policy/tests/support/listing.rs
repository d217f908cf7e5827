//! Endpoints and updates of listings for tests.

use masticstair_core::prelude::*;
use masticstair_policy::directory::{
    Directory, ListingChange, ListingUpdate, ServingEndpoint, ServingState,
};

pub fn at(ms: u64) -> Timestamp {
    Timestamp::new(1 + ms * 1_000)
}

pub fn endpoint(id: &str, address: &str, incarnation: u64, state: ServingState) -> ServingEndpoint {
    ServingEndpoint {
        id: id.parse().unwrap(),
        service: "s".parse().unwrap(),
        address: address.parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        capacity: Slots::new(1),
        incarnation: Incarnation::new(incarnation),
        state,
        cold: Millis::new(0),
        software: None,
    }
}

pub fn update(settled: bool, endpoints: &[ServingEndpoint]) -> ListingUpdate {
    ListingUpdate {
        incarnation: Incarnation::new(1),
        position: 1,
        complete: true,
        settled,
        changes: endpoints.iter().cloned().map(ListingChange::Listed).collect(),
    }
}

pub fn ready(directory: &Directory) -> Vec<String> {
    directory.ready(&"s".parse().unwrap()).iter().map(|e| e.id.to_string()).collect()
}

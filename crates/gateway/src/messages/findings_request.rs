use masticstair_core::prelude::*;
use masticstair_policy::directory::DepartureNotice;
use masticstair_policy::endpoint_limits::LimitNotice;
use masticstair_policy::poison::Evidence;
use masticstair_policy::request_crashes::CrashNotice;
use serde::{Deserialize, Serialize};

use super::PoolMeasurement;

/// Tells a control host what this host has found out about prompts and endpoints, and asks for what it knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FindingsRequest {
    /// The process of the control host that the positions belong to.
    pub incarnation: Incarnation,
    /// The position of the control host's evidence that this host has reached.
    pub evidence_position: u64,
    /// The position of the control host's limits that this host has reached.
    pub limits_position: u64,
    /// Evidence on prompts that the control host does not have from this host yet.
    pub evidence: Vec<Evidence>,
    /// Limits of endpoints that the control host does not have from this host yet.
    pub limits: Vec<LimitNotice>,
    /// How long the control host may wait for news.
    pub wait: Millis,
    /// The position of the control host's departures that this host has reached.
    pub departures_position: u64,
    /// Endpoints that told this host that they leave, which the control host does not have from this host yet.
    pub departures: Vec<DepartureNotice>,
    /// The position of the control host's crashes that this host has reached.
    pub crashes_position: u64,
    /// Requests during which endpoints ended, which the control host does not have from this host yet.
    pub crashes: Vec<CrashNotice>,
    /// What this host measured of engines and has not told the control host yet.
    pub engines: Vec<PoolMeasurement>,
}

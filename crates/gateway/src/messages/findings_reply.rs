use masticstair_core::prelude::*;
use masticstair_policy::directory::DepartureNotice;
use masticstair_policy::endpoint_limits::LimitNotice;
use masticstair_policy::engine_model::PoolEstimate;
use masticstair_policy::poison::Evidence;
use masticstair_policy::request_crashes::CrashNotice;
use serde::{Deserialize, Serialize};

/// What a control host knows of prompts and endpoints beyond what the other host has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FindingsReply {
    /// The process that sends the reply; its positions mean nothing to another one.
    pub incarnation: Incarnation,
    /// The position that the receiver has reached with `evidence`.
    pub evidence_position: u64,
    /// The position that the receiver has reached with `limits`.
    pub limits_position: u64,
    /// New evidence on prompts.
    pub evidence: Vec<Evidence>,
    /// New limits of endpoints.
    pub limits: Vec<LimitNotice>,
    /// The position that the receiver has reached with `departures`.
    pub departures_position: u64,
    /// Endpoints that have stated that they leave.
    pub departures: Vec<DepartureNotice>,
    /// The position that the receiver has reached with `crashes`.
    pub crashes_position: u64,
    /// Requests during which endpoints ended.
    pub crashes: Vec<CrashNotice>,
    /// What all hosts together know of the engines of each pool.
    pub engines: Vec<PoolEstimate>,
}

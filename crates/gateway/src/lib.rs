//! The gateway of masticstair: forwards client requests to endpoints along the routes of a catalog, and on
//! control hosts tracks endpoints and catalogs.
//!
//! Decisions are functions of `masticstair_policy`; the names on the wire belong to a front end.

pub mod control;
mod entry;
pub mod front_end;
mod messages;
mod stages;
pub mod status;
pub mod telemetry;

mod catalog_in_force;
mod endpoint_end;
mod finding_positions;
mod gateway;
mod gateway_config;
mod gateway_endpoints;
mod gateway_engines;
mod gateway_event;
mod gateway_findings;
mod gateway_parts;
mod handle_events;
mod install_catalog;
mod listeners;
mod maintenance;
mod notify;
mod peer_host;
mod peer_view;
mod permission;
mod request_permit;
mod run_gateway;
mod stop_gateway;
mod update_links;

pub(crate) use catalog_in_force::CatalogInForce;
pub(crate) use gateway::Gateway;
pub use gateway_config::GatewayConfig;
pub use gateway_event::{GatewayEvent, event_channel};
pub use gateway_parts::GatewayParts;
pub(crate) use notify::Notify;
pub use peer_host::PeerHost;
pub use peer_view::{PeerView, Peers};
pub use run_gateway::run_gateway;

use bytes::Bytes;
use http::Method;
use masticstair_core::endpoint_api::Announcement;
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use std::net::SocketAddr;
use std::time::Duration;

/// The time between two announcements, each of which renews the lease of the endpoint.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of one announcement.
const ANNOUNCE_TIMEOUT: Millis = Millis::new(400);

/// Announces an endpoint to one host at a time; moves on to the next host when that one fails or times out.
pub(super) async fn announce_forever(
    id: EndpointId,
    hosts: Vec<SocketAddr>,
    announcement: impl Fn() -> Announcement,
) {
    let pool = ConnectionPool::new(ClientLimits::default());
    let mut current = 0;
    while !hosts.is_empty() {
        let body = serde_json::to_vec(&announcement()).unwrap_or_default();
        let call = Call {
            addr: hosts[current],
            method: Method::PUT,
            path: format!("/v1/endpoints/{id}").into(),
            headers: http::HeaderMap::new(),
            body: Bytes::from(body),
            timeout: ANNOUNCE_TIMEOUT,
            reuse: true,
        };
        match pool.fetch(call).await {
            Ok((head, _)) if head.status.is_success() => {
                monoio::time::sleep(RENEW_INTERVAL).await;
            }
            _ => {
                current = (current + 1) % hosts.len();
                monoio::time::sleep(RENEW_INTERVAL / 10).await;
            }
        }
    }
}

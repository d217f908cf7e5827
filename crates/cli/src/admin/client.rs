use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use masticstair_core::id::DeploymentName;
use masticstair_core::prelude::*;
use masticstair_host::http_api::admin::{
    AdminProblem, SIGNATURE_HEADER, SIGNER_HEADER, TIME_HEADER,
};
use masticstair_net::http::client::{Call, ClientError, ClientLimits, ConnectionPool};
use masticstair_policy::operator_read::signed_read_text;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::SystemTime;

use super::AdminError;
use crate::operator::OperatorKey;
use crate::options::Connection;

/// How long a host may take; it gives up on its own after 5 s.
const TIMEOUT: Millis = Millis::new(7_000);
/// The largest answer: a content of 16 MiB, escaped.
const MAX_ANSWER: ByteCount = ByteCount::new(32 << 20);

/// The way of an operator to the hosts of a deployment.
pub struct AdminClient {
    pool: ConnectionPool,
    pub(super) hosts: Vec<SocketAddr>,
    pub(super) deployment: DeploymentName,
    pub(super) key: OperatorKey,
}

impl AdminClient {
    /// Loads the key of a connection.
    ///
    /// # Errors
    ///
    /// Fails when the key file cannot be used.
    pub fn open(connection: &Connection) -> Result<Self, AdminError> {
        let limits = ClientLimits { body: MAX_ANSWER, ..ClientLimits::default() };
        Ok(Self {
            pool: ConnectionPool::new(limits),
            hosts: connection.hosts.clone(),
            deployment: connection.deployment.clone(),
            key: OperatorKey::load(&connection.key)?,
        })
    }

    /// Reads a document from the first host that gives one.
    ///
    /// # Errors
    ///
    /// `Refused` as the last host that answered says it, or `Unreachable`.
    pub async fn read<T: DeserializeOwned>(&self, target: &str) -> Result<T, AdminError> {
        let (mut refused, mut unanswered) = (None, Vec::new());
        for host in &self.hosts {
            let call =
                self.call(*host, Method::GET, target, self.read_headers(target), Bytes::new());
            match self.fetch(call).await {
                Ok(Ok(body)) => return parse(&body),
                // Another host may know more when this one cannot answer.
                Ok(Err(problem)) if problem.problem.status == 503 => refused = Some(problem),
                Ok(Err(problem)) => return Err(AdminError::Refused(problem)),
                Err(e) => unanswered.push(format!("  {e}")),
            }
        }
        Err(match refused {
            Some(problem) => AdminError::Refused(problem),
            None => AdminError::Unreachable(unanswered.join("\n").into()),
        })
    }

    /// Posts a command to one host.
    pub(super) async fn post(
        &self,
        host: SocketAddr,
        path: &str,
        body: &Bytes,
    ) -> Result<Result<Bytes, Box<AdminProblem>>, ClientError> {
        let mut headers = HeaderMap::new();
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.fetch(self.call(host, Method::POST, path, headers, body.clone())).await
    }

    async fn fetch(&self, call: Call) -> Result<Result<Bytes, Box<AdminProblem>>, ClientError> {
        let addr = call.addr;
        let (head, body) = self.pool.fetch(call).await?;
        if head.status.is_success() {
            return Ok(Ok(body));
        }
        let problem = serde_json::from_slice(&body).map_err(|e| {
            let detail = format!("status {} without a problem document: {e}", head.status);
            ClientError::Broken(addr, detail.into())
        })?;
        Ok(Err(problem))
    }

    fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Call {
        Call { addr, method, path: path.into(), headers, body, timeout: TIMEOUT, reuse: false }
    }

    fn read_headers(&self, target: &str) -> HeaderMap {
        let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let time = WallTime::new(since.as_millis() as u64);
        let signer = &self.key.signer;
        let text = signed_read_text(&self.deployment, signer, "GET", target, time);
        let values = [
            (SIGNER_HEADER, signer.to_string()),
            (TIME_HEADER, time.to_string()),
            (SIGNATURE_HEADER, self.key.sign(&text).to_string()),
        ];
        let parsed = values.into_iter().filter_map(|(name, value)| {
            Some((HeaderName::from_static(name), HeaderValue::from_str(&value).ok()?))
        });
        parsed.collect()
    }
}

/// Reads a document of a host.
pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, AdminError> {
    serde_json::from_slice(body).map_err(|e| AdminError::Answer(e.to_string().into()))
}

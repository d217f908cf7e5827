use std::time::Instant;

use super::limits::CONNECT_TIMEOUT;
use super::transport::transport;
use super::{DecodeError, PeerClientConfig, PeerError, PeerIdentity, wire};
use crate::generated::peer_capnp::{gate, hello_result, peer};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_util::future::{Either, Fuse, FutureExt, select};
use monoio::net::TcpStream;
use monoio::time::timeout;

/// An open connection on which both sides accepted the hello.
pub(crate) struct Connection {
    /// Drives the connection; calls proceed only while it is polled. Dropping it closes the connection.
    pub(crate) rpc: Fuse<RpcSystem<Side>>,
    pub(crate) peer: peer::Client,
    pub(crate) identity: PeerIdentity,
    pub(crate) opened: Instant,
}

impl Connection {
    /// Connects and exchanges hellos within `CONNECT_TIMEOUT`.
    pub(crate) async fn open(cfg: &PeerClientConfig) -> Result<Self, PeerError> {
        match timeout(CONNECT_TIMEOUT, connect_and_hello(cfg)).await {
            Ok(result) => result,
            Err(_) => Err(unreachable(
                cfg,
                format!("no connection and hello within {} ms", CONNECT_TIMEOUT.as_millis()),
            )),
        }
    }
}

async fn connect_and_hello(cfg: &PeerClientConfig) -> Result<Connection, PeerError> {
    let stream =
        TcpStream::connect_addr(cfg.address).await.map_err(|e| unreachable(cfg, e.to_string()))?;
    let network = transport(stream, Side::Client).map_err(|e| unreachable(cfg, e.to_string()))?;
    let mut rpc = RpcSystem::new(network, None);
    let gate: gate::Client = rpc.bootstrap(Side::Server);
    let mut request = gate.hello_request();
    wire::hello::write(request.get().init_hello(), &cfg.local);
    let reply = match select(request.send().promise, &mut rpc).await {
        Either::Left((reply, _)) => reply.map_err(|e| unreachable(cfg, e.to_string()))?,
        Either::Right((end, _)) => {
            let reason = end.err().map_or("closed by the peer".into(), |e| e.to_string());
            return Err(unreachable(cfg, reason));
        }
    };
    let result = reply.get().and_then(|r| r.get_result());
    let (identity, peer) =
        result.map_err(DecodeError::from).and_then(read_hello_result).map_err(|source| {
            PeerError::Refused { address: cfg.address, reason: source.to_string().into() }
        })?;
    let peer = check_peer(cfg, &identity, peer)?;
    Ok(Connection { rpc: rpc.fuse(), peer, identity, opened: Instant::now() })
}

type HelloReply = (PeerIdentity, Result<peer::Client, Box<str>>);

fn read_hello_result(result: hello_result::Reader<'_>) -> Result<HelloReply, DecodeError> {
    let identity = wire::hello::read(result.get_hello()?)?;
    let peer = match result.which().map_err(|e| DecodeError::value("hello result", e))? {
        hello_result::Accepted(peer) => Ok(peer?),
        hello_result::Refused(reason) => Err(wire::text::read_text("reason", reason)?),
    };
    Ok((identity, peer))
}

/// Checks that the peer accepted the hello and that it is a compatible, different host and the expected one.
fn check_peer(
    cfg: &PeerClientConfig,
    identity: &PeerIdentity,
    peer: Result<peer::Client, Box<str>>,
) -> Result<peer::Client, PeerError> {
    let refused = |reason| PeerError::Refused { address: cfg.address, reason };
    let peer = peer.map_err(refused)?;
    if let Some(reason) = cfg.local.mismatch_with(identity) {
        return Err(refused(reason));
    }
    if identity.host == cfg.local.host {
        return Err(refused(format!("it is this host, {}", identity.host).into()));
    }
    match &cfg.expected {
        Some(host) if *host != identity.host => {
            Err(refused(format!("it is host {}, not {host}", identity.host).into()))
        }
        _ => Ok(peer),
    }
}

fn unreachable(cfg: &PeerClientConfig, reason: String) -> PeerError {
    PeerError::Unreachable { address: cfg.address, reason: reason.into() }
}

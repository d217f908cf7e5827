//! A host with simple handlers, and clients of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticstair_core::id::{HostId, Incarnation, LogIndex, ReplicaId, Revision};
use masticstair_core::message::{AppendReply, VoteReply};
use masticstair_net::peer::*;
use masticstair_policy::membership::GossipMessage;
use monoio::time::sleep;

pub const CALL_TIMEOUT: Duration = Duration::from_millis(200);

pub fn identity(deployment: &str, host: &str, protocol: u16) -> PeerIdentity {
    PeerIdentity {
        deployment: deployment.parse().unwrap(),
        host: host.parse().unwrap(),
        incarnation: Incarnation::new(7),
        protocol: ProtocolVersion::new(protocol),
    }
}

pub fn near_identity() -> PeerIdentity {
    identity("test", "near", 1)
}

/// Starts a host that serves vote, append, propose, gossip and formation. A proposal of `slow` never
/// completes.
pub fn serve(local: PeerIdentity) -> SocketAddr {
    let mut handlers = PeerHandlers::refusing();
    handlers.vote = Box::new(|_, request| {
        let reply = VoteReply { term: request.message.term, granted: request.message.transfer };
        Box::pin(async move { Ok(reply) })
    });
    handlers.append = Box::new(|_, request| {
        let reply = AppendReply {
            term: request.message.term,
            success: true,
            match_index: LogIndex::new(request.message.entries.len() as u64),
            round: request.message.round,
        };
        Box::pin(async move { Ok(reply) })
    });
    handlers.propose = Box::new(|caller, request| {
        let (host, command) = (caller.host.clone(), request.message.command);
        Box::pin(async move {
            match &*command {
                b"slow" => std::future::pending().await,
                b"redirect" => Ok(ProposeReply::Redirect(Some(host))),
                b"refuse" => Err(CallRefused::new("not now")),
                _ => Ok(ProposeReply::Applied(command)),
            }
        })
    });
    handlers.gossip = Box::new(|_, message| Box::pin(async move { Ok(message) }));
    handlers.formation = Box::new(|_, _| {
        let answer = FormationAnswer {
            new: true,
            replica: Some(ReplicaId::from_bytes([9; 16])),
            term: masticstair_core::id::Term::new(3),
        };
        Box::pin(async move { Ok(answer) })
    });
    let server = PeerServer::bind("127.0.0.1:0".parse().unwrap(), local, handlers).unwrap();
    let address = server.local_addr().unwrap();
    monoio::spawn(server.run(std::future::pending()));
    address
}

pub fn client(address: SocketAddr, local: PeerIdentity, expected: Option<&str>) -> PeerClient {
    let expected = expected.map(|host| host.parse::<HostId>().unwrap());
    PeerClient::spawn(PeerClientConfig { address, expected, local })
}

pub fn client_of_far() -> PeerClient {
    client(serve(identity("test", "far", 1)), near_identity(), Some("far"))
}

pub async fn gossip(client: &PeerClient, revision: u64) -> Result<u64, PeerError> {
    let message = GossipMessage { revision: Revision::new(revision), ..Default::default() };
    client.gossip(message, CALL_TIMEOUT).await.map(|reply| reply.revision.get())
}

pub async fn propose(client: &PeerClient, command: &[u8]) -> Result<ProposeReply, PeerError> {
    let proposal = Proposal { command: command.into(), budget: CALL_TIMEOUT };
    client.propose(GroupId::FIRST, proposal).await
}

/// Returns whether calls succeed again within 3 s: two connection attempts that take the whole
/// `CONNECT_TIMEOUT`, and `BACKOFF_MAX`.
pub async fn recovers(client: &PeerClient) -> bool {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        if gossip(client, 3).await == Ok(3) {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use masticstair_core::id::HostId;
use masticstair_net::peer::{PeerClient, PeerClientConfig, PeerIdentity};
use masticstair_policy::membership::HostRecord;

/// The clients of the control thread, one for each peer. A client connects when it is first used.
pub struct PeerPool {
    local: PeerIdentity,
    /// A host has at most one client; it is replaced when the host moves to another address.
    clients: RefCell<HashMap<HostId, PeerClient>>,
}

impl PeerPool {
    /// Makes an empty pool.
    pub fn new(local: PeerIdentity) -> Self {
        Self { local, clients: RefCell::default() }
    }

    /// Returns the client of a host; its task runs on this thread.
    pub fn client(&self, record: &HostRecord) -> PeerClient {
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(&record.host)
            && client.address() == record.address
        {
            return client.clone();
        }
        let client = self.spawn(record.address, Some(record.host.clone()));
        clients.insert(record.host.clone(), client.clone());
        client
    }

    /// Makes a client of an address where the host is not known. It is not kept.
    pub fn client_of_address(&self, address: SocketAddr) -> PeerClient {
        self.spawn(address, None)
    }

    /// Forgets the clients of hosts that are not `wanted`; their tasks end with the last handle.
    pub fn retain(&self, wanted: impl Fn(&HostId) -> bool) {
        self.clients.borrow_mut().retain(|host, _| wanted(host));
    }

    fn spawn(&self, address: SocketAddr, expected: Option<HostId>) -> PeerClient {
        PeerClient::spawn(PeerClientConfig { address, expected, local: self.local.clone() })
    }
}

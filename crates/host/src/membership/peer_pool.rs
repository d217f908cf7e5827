use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use masticstair_core::id::HostId;
use masticstair_net::peer::{PeerClient, PeerClientConfig, PeerIdentity};
use masticstair_policy::membership::HostRecord;

/// The clients of the control thread, one for each peer. A client connects on first use.
pub struct PeerPool {
    local: PeerIdentity,
    /// At most one client for each host; replaced if the address of the host changes.
    clients: RefCell<HashMap<HostId, PeerClient>>,
}

impl PeerPool {
    /// Creates an empty pool; clients send `local` to their peers.
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

    /// Creates a client for an address whose host is not known yet; the pool does not keep it.
    pub fn client_of_address(&self, address: SocketAddr) -> PeerClient {
        self.spawn(address, None)
    }

    /// Removes the clients of all hosts but the `wanted` ones; a client task ends with its last handle.
    pub fn retain(&self, wanted: impl Fn(&HostId) -> bool) {
        self.clients.borrow_mut().retain(|host, _| wanted(host));
    }

    fn spawn(&self, address: SocketAddr, expected: Option<HostId>) -> PeerClient {
        PeerClient::spawn(PeerClientConfig { address, expected, local: self.local.clone() })
    }
}

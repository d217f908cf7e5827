use std::cell::Cell;
use std::rc::Rc;

use super::service::Service;
use super::{PeerHandlers, PeerIdentity, wire};
use crate::generated::peer_capnp::gate;

/// The bootstrap interface of a connection: accepts or refuses the hello of the caller.
pub(crate) struct Gate {
    pub(crate) local: Rc<PeerIdentity>,
    pub(crate) handlers: Rc<PeerHandlers>,
    /// Set by the first accepted hello. The server closes connections that do not set it in time.
    pub(crate) accepted: Rc<Cell<bool>>,
    /// Calls in flight on the connection; shared by the services of repeated hellos.
    pub(crate) in_flight: Rc<Cell<usize>>,
}

impl gate::Server for Gate {
    async fn hello(
        self: Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let caller = wire::hello::read(params.get()?.get_hello()?)?;
        let mut out = results.get().init_result();
        wire::hello::write(out.reborrow().init_hello(), &self.local);
        if let Some(reason) = self.local.mismatch_with(&caller) {
            out.set_refused(&*reason);
            return Ok(());
        }
        self.accepted.set(true);
        let service =
            Service { caller, handlers: self.handlers.clone(), in_flight: self.in_flight.clone() };
        out.set_accepted(capnp_rpc::new_client(service));
        Ok(())
    }
}

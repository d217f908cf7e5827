//! Host records of the membership table.

use super::address;
use super::text::read_name;
use crate::generated::peer_capnp::{HostState as WireState, host_news};
use crate::peer::DecodeError;
use masticstair_core::id::Incarnation;
use masticstair_policy::membership::{HostRecord, HostState, Refutation};

pub(crate) fn write(mut out: host_news::Builder<'_>, record: &HostRecord) {
    out.set_host(record.host.as_str());
    out.set_address(&address::write(record.address));
    out.set_data_centre(record.data_centre.as_str());
    out.set_incarnation(record.incarnation.get());
    out.set_refutation(record.refutation.get());
    out.set_durable(record.durable);
    out.set_state(match record.state {
        HostState::Alive => WireState::Alive,
        HostState::Suspect => WireState::Suspect,
        HostState::Failed => WireState::Failed,
        HostState::Left => WireState::Left,
    });
}

pub(crate) fn read(record: host_news::Reader<'_>) -> Result<HostRecord, DecodeError> {
    let state = match record.get_state().map_err(|e| DecodeError::value("host state", e))? {
        WireState::Alive => HostState::Alive,
        WireState::Suspect => HostState::Suspect,
        WireState::Failed => HostState::Failed,
        WireState::Left => HostState::Left,
    };
    Ok(HostRecord {
        host: read_name("host", record.get_host())?,
        incarnation: Incarnation::new(record.get_incarnation()),
        refutation: Refutation::new(record.get_refutation()),
        state,
        address: address::read("host address", record.get_address())?,
        data_centre: read_name("data centre", record.get_data_centre())?,
        durable: record.get_durable(),
    })
}

//! Endpoint records. The names are packed into one text, separated by spaces: endpoint, observer, pool, data
//! centre, then `name=version` for each model.

use std::fmt::Display;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use super::text::{check_count, read_text};
use crate::generated::peer_capnp::{
    EndpointState as WireState, StageKind as WireKind, endpoint_news,
};
use crate::peer::DecodeError;
use crate::peer::limits::MODELS_LIMIT;
use masticstair_core::bundle::StageKind;
use masticstair_core::id::Incarnation;
use masticstair_core::unit::Slots;
use masticstair_policy::endpoint_table::{EndpointRecord, EndpointState, Sequence, ServedModel};
use smallvec::SmallVec;

pub(crate) fn write(mut out: endpoint_news::Builder<'_>, record: &EndpointRecord) {
    out.set_incarnation(record.incarnation.get());
    out.set_sequence(record.sequence.get());
    out.set_state(write_state(record.state));
    out.set_kind(write_kind(record.kind));
    out.set_capacity(record.capacity.get());
    out.set_port(record.address.port());
    match record.address.ip() {
        IpAddr::V4(ip) => out.set_ipv4(ip.to_bits()),
        IpAddr::V6(ip) => out.set_ipv6(&ip.octets()),
    }
    out.set_names(&*write_names(record));
}

pub(crate) fn read(record: endpoint_news::Reader<'_>) -> Result<EndpointRecord, DecodeError> {
    let names = read_text("endpoint names", record.get_names())?;
    let mut names = names.split(' ');
    Ok(EndpointRecord {
        id: parse_name("endpoint", names.next())?,
        observer: parse_name("observer", names.next())?,
        pool: parse_name("pool", names.next())?,
        data_centre: parse_name("data centre", names.next())?,
        models: read_models(names)?,
        incarnation: Incarnation::new(record.get_incarnation()),
        state: read_state(record)?,
        sequence: Sequence::new(record.get_sequence()),
        address: SocketAddr::new(read_ip(record)?, record.get_port()),
        kind: read_kind(record)?,
        capacity: Slots::new(record.get_capacity()),
    })
}

fn write_names(record: &EndpointRecord) -> String {
    let EndpointRecord { id, observer, pool, data_centre, models, .. } = record;
    let mut names = format!("{id} {observer} {pool} {data_centre}");
    for model in models {
        names.extend([" ", model.name.as_str(), "=", model.version.as_str()]);
    }
    names
}

fn parse_name<T>(field: &'static str, name: Option<&str>) -> Result<T, DecodeError>
where
    T: FromStr,
    T::Err: Display,
{
    name.unwrap_or_default().parse().map_err(|e| DecodeError::value(field, e))
}

fn read_models<'a>(
    models: impl Iterator<Item = &'a str>,
) -> Result<SmallVec<[ServedModel; 2]>, DecodeError> {
    let mut read = SmallVec::new();
    for model in models {
        check_count("models", read.len() as u32 + 1, MODELS_LIMIT)?;
        let (name, version) = model.split_once('=').unwrap_or((model, ""));
        read.push(ServedModel {
            name: parse_name("model", Some(name))?,
            version: parse_name("model version", Some(version))?,
        });
    }
    Ok(read)
}

fn read_ip(record: endpoint_news::Reader<'_>) -> Result<IpAddr, DecodeError> {
    let ipv6 = record.get_ipv6()?;
    if ipv6.is_empty() {
        return Ok(Ipv4Addr::from_bits(record.get_ipv4()).into());
    }
    <[u8; 16]>::try_from(ipv6).map(IpAddr::from).map_err(|_| {
        let reason = format_args!("{} bytes (0 or 16 are allowed)", ipv6.len());
        DecodeError::value("endpoint address", reason)
    })
}

fn write_state(state: EndpointState) -> WireState {
    match state {
        EndpointState::Ready => WireState::Ready,
        EndpointState::Expired => WireState::Expired,
        EndpointState::Leaving => WireState::Leaving,
    }
}

fn read_state(record: endpoint_news::Reader<'_>) -> Result<EndpointState, DecodeError> {
    Ok(match record.get_state().map_err(|e| DecodeError::value("endpoint state", e))? {
        WireState::Ready => EndpointState::Ready,
        WireState::Expired => EndpointState::Expired,
        WireState::Leaving => EndpointState::Leaving,
    })
}

fn write_kind(kind: StageKind) -> WireKind {
    match kind {
        StageKind::Encode => WireKind::Encode,
        StageKind::Retrieve => WireKind::Retrieve,
        StageKind::Rerank => WireKind::Rerank,
        StageKind::Generate => WireKind::Generate,
        StageKind::Service => WireKind::Service,
    }
}

fn read_kind(record: endpoint_news::Reader<'_>) -> Result<StageKind, DecodeError> {
    Ok(match record.get_kind().map_err(|e| DecodeError::value("endpoint kind", e))? {
        WireKind::Encode => StageKind::Encode,
        WireKind::Retrieve => StageKind::Retrieve,
        WireKind::Rerank => StageKind::Rerank,
        WireKind::Generate => StageKind::Generate,
        WireKind::Service => StageKind::Service,
    })
}

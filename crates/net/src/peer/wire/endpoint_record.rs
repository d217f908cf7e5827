//! Records of endpoints.

use super::address;
use super::text::{check_count, read_name};
use crate::generated::peer_capnp::{
    EndpointState as WireState, StageKind as WireKind, endpoint_news, model_version,
};
use crate::peer::DecodeError;
use crate::peer::limits::MODELS_LIMIT;
use masticstair_core::bundle::StageKind;
use masticstair_core::id::Incarnation;
use masticstair_core::unit::Slots;
use masticstair_policy::endpoint_table::{EndpointRecord, EndpointState, Sequence, ServedModel};

/// Writes the record of an endpoint.
pub(crate) fn write(mut out: endpoint_news::Builder<'_>, record: &EndpointRecord) {
    out.set_id(record.id.as_str());
    out.set_incarnation(record.incarnation.get());
    out.set_sequence(record.sequence.get());
    out.set_observer(record.observer.as_str());
    out.set_state(write_state(record.state));
    out.set_kind(write_kind(record.kind));
    out.set_capacity(record.capacity.get());
    out.set_address(&address::write(record.address));
    out.set_pool(record.pool.as_str());
    out.set_data_centre(record.data_centre.as_str());
    if record.models.is_empty() {
        return;
    }
    let mut models = out.init_models(record.models.len() as u32);
    for (i, model) in record.models.iter().enumerate() {
        let mut out = models.reborrow().get(i as u32);
        out.set_name(model.name.as_str());
        out.set_version(model.version.as_str());
    }
}

/// Reads the record of an endpoint.
pub(crate) fn read(news: endpoint_news::Reader<'_>) -> Result<EndpointRecord, DecodeError> {
    let models = news.get_models()?;
    check_count("models", models.len(), MODELS_LIMIT)?;
    Ok(EndpointRecord {
        id: read_name("endpoint", news.get_id())?,
        incarnation: Incarnation::new(news.get_incarnation()),
        state: read_state(news)?,
        sequence: Sequence::new(news.get_sequence()),
        observer: read_name("observer", news.get_observer())?,
        address: address::read("endpoint address", news.get_address())?,
        pool: read_name("pool", news.get_pool())?,
        kind: read_kind(news)?,
        data_centre: read_name("data centre", news.get_data_centre())?,
        capacity: Slots::new(news.get_capacity()),
        models: models.iter().map(read_model).collect::<Result<_, _>>()?,
    })
}

fn read_model(model: model_version::Reader<'_>) -> Result<ServedModel, DecodeError> {
    Ok(ServedModel {
        name: read_name("model", model.get_name())?,
        version: read_name("model version", model.get_version())?,
    })
}

fn write_state(state: EndpointState) -> WireState {
    match state {
        EndpointState::Ready => WireState::Ready,
        EndpointState::Expired => WireState::Expired,
        EndpointState::Leaving => WireState::Leaving,
    }
}

fn read_state(news: endpoint_news::Reader<'_>) -> Result<EndpointState, DecodeError> {
    Ok(match news.get_state().map_err(|e| DecodeError::value("endpoint state", e))? {
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

fn read_kind(news: endpoint_news::Reader<'_>) -> Result<StageKind, DecodeError> {
    Ok(match news.get_kind().map_err(|e| DecodeError::value("endpoint kind", e))? {
        WireKind::Encode => StageKind::Encode,
        WireKind::Retrieve => StageKind::Retrieve,
        WireKind::Rerank => StageKind::Rerank,
        WireKind::Generate => StageKind::Generate,
        WireKind::Service => StageKind::Service,
    })
}

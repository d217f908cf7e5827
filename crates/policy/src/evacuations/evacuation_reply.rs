use masticstair_core::id::EvacuationRevision;

/// The reply to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationReply {
    /// The order was carried out; carries the revision of the change.
    Changed(EvacuationRevision),
    /// The order asks for what holds already; carries the last revision of the data centre, or 0.
    Held(EvacuationRevision),
    /// A later change of the data centre contradicts the order, which may have been held up on its way; carries the revision
    /// of that change. Nothing changed. An operator who still wants it sends it again.
    Outdated(EvacuationRevision),
    /// `MAX_DATA_CENTRES` are evacuated. Nothing changed.
    Full,
}

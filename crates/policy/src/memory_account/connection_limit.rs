use masticstair_core::unit::Slots;

/// Descriptors that are no connections: files, listeners, and connections between hosts.
const OWN_DESCRIPTORS: u32 = 128;

/// The least number of connections of a listener.
const MIN_CONNECTIONS: u32 = 8;

/// The part of the descriptors that the connections of a listener may take, in sixteenths. What remains is for
/// connections to endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerShare(pub u32);

impl ListenerShare {
    /// Clients, whose requests need connections to endpoints as well.
    pub const CLIENTS: Self = Self(6);
    /// Endpoints and operators.
    pub const CONTROL: Self = Self(4);
    /// A probe, or the product's own interface beside a gateway.
    pub const OTHER: Self = Self(1);
    /// The product's own interface without a gateway.
    pub const OWN: Self = Self(8);
}

/// Returns the most connections that a listener may have in a process with so many descriptors.
pub fn connection_limit(descriptors: Slots, share: ListenerShare) -> Slots {
    let free = descriptors.get().saturating_sub(OWN_DESCRIPTORS);
    let limit = u64::from(free) * u64::from(share.0) / 16;
    Slots::new(u32::try_from(limit).unwrap_or(u32::MAX).max(MIN_CONNECTIONS))
}

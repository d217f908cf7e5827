//! Socket addresses: 4 or 16 bytes of IP address, followed by the port in network byte order.

use std::net::{IpAddr, SocketAddr};

use crate::peer::DecodeError;
use smallvec::SmallVec;

/// An encoded address; at most 18 bytes (IPv6).
pub(crate) type AddressBytes = SmallVec<[u8; 18]>;

pub(crate) fn write(address: SocketAddr) -> AddressBytes {
    let mut bytes = AddressBytes::new();
    match address.ip() {
        IpAddr::V4(ip) => bytes.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
    }
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

/// Reads an address; `field` names it in errors.
pub(crate) fn read(
    field: &'static str,
    data: capnp::Result<capnp::data::Reader<'_>>,
) -> Result<SocketAddr, DecodeError> {
    let data = data?;
    let parts = data.split_last_chunk::<2>();
    let ip = parts.and_then(|(ip, _)| match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok().map(IpAddr::from),
        16 => <[u8; 16]>::try_from(ip).ok().map(IpAddr::from),
        _ => None,
    });
    match (ip, parts) {
        (Some(ip), Some((_, port))) => Ok(SocketAddr::new(ip, u16::from_be_bytes(*port))),
        _ => Err(DecodeError::value(
            field,
            format_args!("{} bytes (6 or 18 are allowed)", data.len()),
        )),
    }
}

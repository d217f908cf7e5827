use http::StatusCode;

/// Returns whether a status is one of a final response (RFC 9110, section 15). Parsers accept any three digits from 100 on.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a final response follows on the same connection. After 101 another protocol does.
pub(crate) fn is_interim_status(status: StatusCode) -> bool {
    status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS
}

use std::time::Duration;

/// The state of the link from one replica to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkState {
    /// Messages arrive after the delay.
    Open(Duration),
    /// Each message is lost with this probability, without an error.
    Lossy(f64),
    /// Messages are lost without an error, as on an open but dead connection.
    Silent,
    /// Messages fail at once.
    Refused,
}

use std::time::Duration;

/// What happens to messages from one replica to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkState {
    /// They arrive after the delay.
    Open(Duration),
    /// Each one is lost with this probability, without an error.
    Lossy(f64),
    /// They are lost without an error, as on an open but dead connection.
    Silent,
    /// They fail at once.
    Refused,
}

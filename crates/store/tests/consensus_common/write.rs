/// An acknowledged command of a client.
#[derive(Clone, Copy, Debug)]
pub struct Write {
    pub command: u64,
    /// The number of earlier commands that claimed the key.
    pub reply: u64,
    /// The number of commands of all clients acknowledged before this one was sent.
    pub acked_before: usize,
}

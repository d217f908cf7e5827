/// An acknowledged command of a client.
#[derive(Clone, Copy, Debug)]
pub struct Write {
    pub command: u64,
    /// How many commands had claimed the key before.
    pub reply: u64,
    /// How many commands of all clients were acknowledged before this one was sent.
    pub acked_before: usize,
}

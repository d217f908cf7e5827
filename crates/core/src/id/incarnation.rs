number_newtype! {
    /// The incarnation of a process; increases with every restart.
    Incarnation(u64)
}

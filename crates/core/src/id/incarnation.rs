number_newtype! {
    /// The life of a process; a restarted process has a higher one.
    Incarnation(u64)
}

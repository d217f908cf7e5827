number_newtype! {
    /// Distinguishes a process from its restarts under the same name; increases with every restart.
    Incarnation(u64)
}

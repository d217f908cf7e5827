number_newtype! {
    /// Milliseconds since the Unix epoch. Never compared between hosts for safety.
    WallTime(u64)
}

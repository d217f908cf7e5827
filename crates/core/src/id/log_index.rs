number_newtype! {
    /// A position in the replicated log; the first entry has index 1.
    LogIndex(u64)
}

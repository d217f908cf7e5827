number_newtype! {
    /// The election term of the replicated log.
    Term(u64)
}

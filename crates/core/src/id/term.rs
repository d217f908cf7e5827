number_newtype! {
    /// The election term of the replicated log; never decreases.
    Term(u64)
}

number_newtype! {
    /// A number of tokens.
    TokenCount(u64)
}

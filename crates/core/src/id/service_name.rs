name_newtype! {
    /// A group of endpoints that serve the same calls.
    ServiceName
}

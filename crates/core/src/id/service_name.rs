name_newtype! {
    /// A service of the catalog: a group of endpoints that serve the same calls.
    ServiceName
}

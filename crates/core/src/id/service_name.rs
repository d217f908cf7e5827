name_newtype! {
    /// The name of a service of the catalog: a group of endpoints that serve the same calls.
    ServiceName
}

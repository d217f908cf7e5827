name_newtype! {
    /// The name of a pool of endpoints that serve the same stages.
    PoolName
}

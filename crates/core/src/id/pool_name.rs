name_newtype! {
    /// A pool of endpoints that serve the same stages.
    PoolName
}

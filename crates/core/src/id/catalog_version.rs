number_newtype! {
    /// The version of a catalog. Operators increase it with every change; 0 means that there is no catalog.
    CatalogVersion(u64)
}

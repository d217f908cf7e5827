number_newtype! {
    /// The version of a catalog; operators raise it with every change. 0 means that there is none.
    CatalogVersion(u64)
}

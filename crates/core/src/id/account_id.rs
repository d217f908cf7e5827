name_newtype! {
    /// The id of a client account of the bundle or the catalog.
    AccountId
}

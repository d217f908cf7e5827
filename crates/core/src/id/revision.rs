number_newtype! {
    /// The revision of the configuration in force; only ever rises, 0 means none.
    Revision(u64)
}

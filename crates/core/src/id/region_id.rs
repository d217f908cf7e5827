name_newtype! {
    /// A region: a group of data centres.
    RegionId
}

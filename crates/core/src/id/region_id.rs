name_newtype! {
    /// The name of a region: a group of data centres.
    RegionId
}

name_newtype! {
    /// A route of the catalog.
    RouteName
}

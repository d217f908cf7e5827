name_newtype! {
    /// The name of a route of the catalog.
    RouteName
}

name_newtype! {
    /// The name of a data centre: a failure domain with its own hosts and endpoints.
    DataCentreId
}

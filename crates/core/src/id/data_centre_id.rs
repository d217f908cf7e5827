name_newtype! {
    /// A data centre: a failure domain with its own hosts and endpoints.
    DataCentreId
}

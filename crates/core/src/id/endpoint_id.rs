name_newtype! {
    /// The name under which an endpoint announces itself.
    EndpointId
}

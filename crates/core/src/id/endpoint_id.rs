name_newtype! {
    /// A back end, by the name that it announces.
    EndpointId
}

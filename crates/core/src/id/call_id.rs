name_newtype! {
    /// One attempt of a client's request, by the name that the client gave it. It is passed on unchanged.
    CallId
}

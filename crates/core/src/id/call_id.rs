name_newtype! {
    /// The id that a client gives to one attempt of its request; forwarded unchanged.
    CallId
}

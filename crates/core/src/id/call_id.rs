name_newtype! {
    /// The id that a client gives to one attempt of its request; forwarded unchanged. An `AttemptId`
    /// identifies an attempt of a host at an endpoint instead.
    CallId
}

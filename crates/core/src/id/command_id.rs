name_newtype! {
    /// The id that an operator gives to a command, so that a retried command is detected.
    CommandId
}

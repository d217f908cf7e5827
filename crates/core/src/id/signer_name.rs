name_newtype! {
    /// The name of an operator whose key may sign bundle commands.
    SignerName
}

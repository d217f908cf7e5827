name_newtype! {
    /// An operator whose key may sign bundle commands.
    SignerName
}

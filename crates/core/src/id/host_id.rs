name_newtype! {
    /// A host that runs the daemon, by the name in its settings.
    HostId
}

name_newtype! {
    /// The name of a host that runs the daemon, as given in its settings.
    HostId
}

name_newtype! {
    /// A deployment: the hosts that share one configuration.
    DeploymentName
}

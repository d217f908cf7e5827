name_newtype! {
    /// The name of a deployment: the hosts that share one configuration.
    DeploymentName
}

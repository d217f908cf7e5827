use bpaf::{Parser, ShellComp, construct, long};
use masticstair_core::id::DeploymentName;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How an operator reaches a deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Connection {
    /// The file with the operator's key.
    pub key: PathBuf,
    /// The addresses of hosts; the next is tried when one does not answer. At least one.
    pub hosts: Vec<SocketAddr>,
    /// The deployment that the signatures name.
    pub deployment: DeploymentName,
}

pub(super) fn connection() -> impl Parser<Connection> {
    let key = long("key")
        .help("Key file of the operator, as `masticstair key new` writes it")
        .argument("FILE")
        .complete_shell(ShellComp::File { mask: None });
    let hosts = long("host")
        .help("Address of a host, IP:PORT; repeatable, the next is tried when one does not answer")
        .argument("ADDR")
        .some("at least one --host ADDR is needed");
    let deployment = long("deployment")
        .help("Name of the deployment, as in the settings of its hosts")
        .argument("NAME");
    construct!(Connection { key, hosts, deployment })
}

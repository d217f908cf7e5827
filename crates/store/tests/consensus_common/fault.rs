use std::rc::Rc;
use std::time::Duration;

use super::cluster::Cluster;
use super::path::Path;

/// One event of a fault plan.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Kills a host.
    Kill(usize),
    /// Kills whichever host leads.
    KillLeader,
    /// Kills every host and starts them again.
    RestartAll,
    /// Starts a host that was killed.
    Boot(usize),
    /// Kills a host and empties its disk, unless the group has not recovered from an earlier loss.
    LoseDisk(usize),
    /// Separates some hosts from the others.
    Split(Vec<usize>, Path),
    /// Changes one direction between two hosts.
    OneWay(usize, usize, Path),
    /// Changes all paths.
    All(Path),
    /// Makes all paths work.
    Heal,
    /// Makes each sync of a host take this long.
    SlowDisk(usize, Duration),
    /// Fails the syncs of a host until it is started again.
    FailDisk(usize),
    /// Transfers the leadership.
    Transfer,
}

impl Fault {
    /// Makes the fault happen.
    pub fn strike(&self, c: &Rc<Cluster>, voters: usize) {
        match self {
            Self::Kill(host) => c.kill(*host),
            Self::KillLeader => c.leader().into_iter().for_each(|host| c.kill(host)),
            Self::RestartAll => {
                (0..c.hosts()).for_each(|host| c.kill(host));
                (0..c.hosts()).for_each(|host| boot(c, host));
            }
            Self::Boot(host) => boot(c, *host),
            Self::LoseDisk(host) if c.is_repaired(voters) => c.lose_disk(*host),
            Self::LoseDisk(_) => {}
            Self::Split(left, path) => {
                let right: Vec<_> = (0..c.hosts()).filter(|h| !left.contains(h)).collect();
                c.split(left, &right, *path);
            }
            Self::OneWay(from, to, path) => c.set_path(*from, *to, *path),
            Self::All(path) => {
                let all: Vec<_> = (0..c.hosts()).collect();
                c.split(&all, &all, *path);
            }
            Self::Heal => c.fabric.heal(),
            Self::SlowDisk(host, delay) => c.disk(*host).sync_delay.set(*delay),
            Self::FailDisk(host) => c.disk(*host).fails.set(true),
            Self::Transfer => transfer(c),
        }
    }
}

fn boot(c: &Rc<Cluster>, host: usize) {
    c.disk(host).fails.set(false);
    c.boot(host);
}

fn transfer(c: &Rc<Cluster>) {
    let Some(node) = c.leader().and_then(|host| c.node(host)) else { return };
    monoio::spawn(async move {
        let _ = node.transfer(Duration::from_millis(100)).await;
    });
}

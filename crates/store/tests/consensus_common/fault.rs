use std::rc::Rc;
use std::time::Duration;

use super::cluster::Cluster;
use super::link_state::LinkState;

/// One event of a fault plan.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Kills a host.
    Kill(usize),
    /// Kills the current leader.
    KillLeader,
    /// Kills every host and starts all of them again.
    RestartAll,
    /// Starts a host that was killed.
    Start(usize),
    /// Kills a host and empties its disk, unless the group has not recovered from an earlier loss.
    LoseDisk(usize),
    /// Partitions some hosts from the others.
    Split(Vec<usize>, LinkState),
    /// Changes one direction of the link between two hosts.
    OneWay(usize, usize, LinkState),
    /// Changes all links.
    All(LinkState),
    /// Restores all links.
    Heal,
    /// Makes each sync of a host take this long.
    SlowDisk(usize, Duration),
    /// Fails the syncs of a host until it is restarted.
    FailDisk(usize),
    /// Transfers the leadership away from the current leader.
    Transfer,
}

impl Fault {
    pub fn inject(&self, c: &Rc<Cluster>, voters: usize) {
        match self {
            Self::Kill(host) => c.kill(*host),
            Self::KillLeader => c.leader().into_iter().for_each(|host| c.kill(host)),
            Self::RestartAll => {
                (0..c.hosts()).for_each(|host| c.kill(host));
                (0..c.hosts()).for_each(|host| start_node(c, host));
            }
            Self::Start(host) => start_node(c, *host),
            Self::LoseDisk(host) if c.is_repaired(voters) => c.lose_disk(*host),
            Self::LoseDisk(_) => {}
            Self::Split(left, link_state) => {
                let right: Vec<_> = (0..c.hosts()).filter(|h| !left.contains(h)).collect();
                c.split(left, &right, *link_state);
            }
            Self::OneWay(from, to, link_state) => c.set_link(*from, *to, *link_state),
            Self::All(link_state) => {
                let all: Vec<_> = (0..c.hosts()).collect();
                c.split(&all, &all, *link_state);
            }
            Self::Heal => c.network.heal(),
            Self::SlowDisk(host, delay) => c.disk(*host).sync_delay.set(*delay),
            Self::FailDisk(host) => c.disk(*host).fail_syncs.set(true),
            Self::Transfer => transfer(c),
        }
    }
}

fn start_node(c: &Rc<Cluster>, host: usize) {
    c.disk(host).fail_syncs.set(false);
    c.start_node(host);
}

fn transfer(c: &Rc<Cluster>) {
    let Some(node) = c.leader().and_then(|host| c.node(host)) else { return };
    monoio::spawn(async move {
        let _ = node.transfer_leadership(Duration::from_millis(100)).await;
    });
}

use masticstair_core::message::{Replica, VoterSet};
use masticstair_store::consensus::{Config, Node, NodeParts, ProposeError, Role};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::applied_log::AppliedLog;
use super::disk::Disk;
use super::link_state::LinkState;
use super::machine::machine;
use super::member::Member;
use super::network::Network;
use super::{FIRST_TERM, eventually, replica};

/// All hosts of a group on one runtime.
pub struct Cluster {
    pub cfg: Config,
    pub network: Rc<Network>,
    pub applied_log: AppliedLog,
    pub members: RefCell<Vec<Member>>,
    pub seed: u64,
}

impl Cluster {
    /// Starts `voters` hosts that formed a group, and `spares` hosts with empty disks.
    pub async fn start(cfg: Config, voters: usize, spares: usize, seed: u64) -> Rc<Self> {
        let cluster = Self::start_empty(cfg, voters + spares, seed);
        let first = (0..voters).map(|host| replica(host, 0)).collect();
        let set = VoterSet { voters: first, ..VoterSet::default() };
        cluster.node(0).unwrap().form(set, FIRST_TERM).await.unwrap();
        cluster
    }

    /// Starts hosts with empty disks that have not formed a group.
    pub fn start_empty(cfg: Config, hosts: usize, seed: u64) -> Rc<Self> {
        let members = (0..hosts).map(|host| Member {
            replica: replica(host, 0),
            incarnation: 0,
            disk: Disk::new(seed + host as u64),
            node: None,
        });
        let cluster = Rc::new(Self {
            cfg,
            network: Network::new(seed),
            applied_log: AppliedLog::default(),
            members: RefCell::new(members.collect()),
            seed,
        });
        (0..hosts).for_each(|host| cluster.start_node(host));
        cluster
    }

    pub fn replica(&self, host: usize) -> Replica {
        self.members.borrow()[host].replica.clone()
    }

    pub fn disk(&self, host: usize) -> Rc<Disk> {
        self.members.borrow()[host].disk.clone()
    }

    pub fn node(&self, host: usize) -> Option<Node> {
        self.members.borrow()[host].node.clone()
    }

    pub fn hosts(&self) -> usize {
        self.members.borrow().len()
    }

    /// Starts the process of a host with the state on its disk.
    pub fn start_node(&self, host: usize) {
        let mut members = self.members.borrow_mut();
        let member = &mut members[host];
        if member.node.is_some() {
            return;
        }
        let node = Node::start(NodeParts {
            local_replica: member.replica.clone(),
            cfg: self.cfg.clone(),
            recovered: member.disk.recovered(),
            storage: member.disk.open(),
            state_machine: machine(self.applied_log.clone()),
            connect: self.network.connect(member.replica.id),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        })
        .unwrap();
        self.network.attach(member.replica.id, node.clone());
        member.node = Some(node);
    }

    /// Kills the process of a host.
    pub fn kill(&self, host: usize) {
        let mut members = self.members.borrow_mut();
        let member = &mut members[host];
        let Some(node) = member.node.take() else { return };
        self.network.detach(member.replica.id);
        member.disk.crash();
        node.stop();
    }

    /// Kills the process of a host and empties its disk; the host has a new replica afterwards.
    pub fn lose_disk(&self, host: usize) {
        self.kill(host);
        let mut members = self.members.borrow_mut();
        let member = &mut members[host];
        member.incarnation += 1;
        member.replica = replica(host, member.incarnation);
        member.disk = Disk::new(self.seed + 100 * u64::from(member.incarnation) + host as u64);
    }

    /// Sets the links between two groups of hosts, in both directions.
    pub fn split(&self, left: &[usize], right: &[usize], link_state: LinkState) {
        for (a, b) in left.iter().flat_map(|a| right.iter().map(move |b| (*a, *b))) {
            self.set_link(a, b, link_state);
            self.set_link(b, a, link_state);
        }
    }

    pub fn set_link(&self, from: usize, to: usize, link_state: LinkState) {
        self.network.set(self.replica(from).id, self.replica(to).id, link_state);
    }

    /// Announces every running host to every other one, as gossip does.
    pub fn announce_all(&self) {
        let members = self.members.borrow();
        let running: Vec<_> = members.iter().filter_map(|m| Some((m, m.node.as_ref()?))).collect();
        for (member, _) in &running {
            running.iter().for_each(|(_, node)| node.announce(member.replica.clone()));
        }
    }

    /// Repeats the announcements of all hosts until the cluster is dropped.
    pub fn keep_announcing(self: &Rc<Self>) {
        let cluster = Rc::downgrade(self);
        monoio::spawn(async move {
            while let Some(cluster) = cluster.upgrade() {
                cluster.announce_all();
                drop(cluster);
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }

    /// Returns the hosts whose current replica is a voter in the leader's set.
    pub fn voting_hosts(&self) -> Vec<usize> {
        let Some(leader) = self.leader().and_then(|h| self.node(h)) else { return Vec::new() };
        let members = leader.status().members;
        let votes = |host: &usize| {
            let id = self.replica(*host).id;
            members.iter().any(|m| m.is_voter && m.replica.id == id)
        };
        (0..self.hosts()).filter(votes).collect()
    }

    /// Returns whether the current replica of every host votes, no other one does, and the set is committed, so
    /// that the group tolerates another failure.
    pub fn is_repaired(&self, voters: usize) -> bool {
        let Some(leader) = self.leader().and_then(|h| self.node(h)) else { return false };
        let status = leader.status();
        // A lost replica that still votes counts for the quorum.
        let all_voters = status.members.iter().filter(|m| m.is_voter).count();
        let present = self.voting_hosts().len();
        status.members_committed && present == voters && all_voters == voters
    }

    /// Returns the running host that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let status = |host| Some((self.node(host)?.status(), host));
        let all = (0..self.hosts()).filter_map(status);
        let leaders = all.filter(|(s, _)| s.role == Role::Leader);
        leaders.max_by_key(|(s, _)| s.term).map(|(_, host)| host)
    }

    /// Waits for a leader that has committed its whole log, which shows that a quorum follows it.
    pub async fn stable_leader(&self) -> usize {
        let mut found = 0;
        eventually("a leader that has committed its log", || {
            let Some(host) = self.leader() else { return false };
            found = host;
            self.node(host).is_some_and(|n| n.status().commit_index == n.status().last_index)
        })
        .await;
        found
    }

    /// Proposes a command on a host.
    pub async fn propose(&self, host: usize, command: u64) -> Result<u64, ProposeError> {
        let node = self.node(host).expect("the host runs");
        let limit = Duration::from_secs(2);
        let reply = node.propose(command.to_le_bytes().into(), limit).await?;
        Ok(super::machine::decode(&reply))
    }

    /// Proposes a command to the current leader until one attempt is acknowledged. Each attempt is a
    /// distinct command, numbered in the upper half; returns the acknowledged one.
    pub async fn propose_until_acked(&self, command: u64) -> u64 {
        for attempt in 0..400 {
            let command = command + (attempt << 32);
            if let Some(host) = self.leader()
                && self.propose(host, command).await.is_ok()
            {
                return command;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("command {command} was not acknowledged in 400 attempts");
    }

    /// Waits until all running members of the leader's set have applied the leader's commit index.
    pub async fn wait_converged(&self) {
        self.applied_log.check();
        let host = self.stable_leader().await;
        let commit = self.node(host).unwrap().status().commit_index;
        eventually("every member has applied the commit index", || {
            let Some(leader) = self.leader().and_then(|h| self.node(h)) else { return false };
            let members = leader.status().members;
            let is_member =
                |n: &Node| members.iter().any(|m| m.replica.id == n.status().local_replica.id);
            let nodes = (0..self.hosts()).filter_map(|h| self.node(h));
            nodes.filter(is_member).all(|n| n.status().applied_index >= commit)
        })
        .await;
        self.applied_log.check();
    }

    /// Returns a voting host that does not lead.
    pub async fn follower(&self) -> usize {
        let leader = self.stable_leader().await;
        self.voting_hosts().into_iter().find(|host| *host != leader).expect("a second voter")
    }

    /// Proposes commands in batches of 250; each one must be acknowledged.
    pub async fn propose_all(&self, commands: std::ops::Range<u64>) {
        let leader = self.stable_leader().await;
        let all: Vec<_> = commands.collect();
        for batch in all.chunks(250) {
            let proposals = batch.iter().map(|command| self.propose(leader, *command));
            for reply in futures_util::future::join_all(proposals).await {
                reply.unwrap();
            }
        }
    }
}

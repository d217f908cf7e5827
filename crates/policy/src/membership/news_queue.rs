use std::collections::BTreeMap;

use super::NewsKey;
use masticstair_core::id::HostId;

/// Messages that carry a change beyond log2 of the number of hosts. Without them, a host would be passed
/// over by a change about once in 50 changes.
const EXTRA_TRANSMISSIONS: u32 = 3;

/// Messages in which the origin of a change sends the record itself; nobody can know it before.
const EAGER_TRANSMISSIONS: u32 = 4;

/// Recent changes that a host passes on in the messages that it begins.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    news: BTreeMap<NewsKey, News>,
}

#[derive(Clone, Debug, Default)]
struct News {
    /// Messages that carried the change.
    sent: u32,
    /// The host that it came from; none when this host made the change.
    from: Option<HostId>,
}

/// A change for a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueNews {
    /// The record.
    pub key: NewsKey,
    /// Whether the record itself goes into the message, and not only its mark.
    pub eager: bool,
}

impl NewsQueue {
    /// Adds a change, or begins again when the record changed once more.
    pub fn push(&mut self, key: NewsKey, from: Option<HostId>) {
        self.news.insert(key, News { sent: 0, from });
    }

    /// Returns the changes that concern a host, the least sent first, at most `limit`.
    pub fn due(&self, to: &HostId, limit: usize) -> Vec<DueNews> {
        let mut due: Vec<_> =
            self.news.iter().filter(|(_, news)| news.from.as_ref() != Some(to)).collect();
        due.sort_by_key(|(_, news)| news.sent);
        due.truncate(limit);
        let eager = |news: &News| news.from.is_none() && news.sent < EAGER_TRANSMISSIONS;
        due.into_iter()
            .map(|(key, news)| DueNews { key: key.clone(), eager: eager(news) })
            .collect()
    }

    /// Notes that a message of this host carried a change.
    pub fn note_sent(&mut self, key: &NewsKey) {
        if let Some(news) = self.news.get_mut(key) {
            news.sent += 1;
        }
    }

    /// Forgets the changes that were sent often enough among this many hosts.
    pub fn prune(&mut self, hosts: usize) {
        let limit = Self::transmissions(hosts);
        self.news.retain(|_, news| news.sent < limit);
    }

    /// Returns the recent changes.
    pub fn keys(&self) -> impl Iterator<Item = &NewsKey> {
        self.news.keys()
    }

    /// Tells whether no change is passed on.
    pub fn is_empty(&self) -> bool {
        self.news.is_empty()
    }

    /// Returns how many messages carry a change among this many hosts.
    pub fn transmissions(hosts: usize) -> u32 {
        hosts.max(1).next_power_of_two().ilog2() + EXTRA_TRANSMISSIONS
    }
}

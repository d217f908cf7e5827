use std::collections::BTreeMap;

use super::NewsKey;
use masticstair_core::id::HostId;

/// Changes that a host still passes on, each about log2 of the number of hosts times.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    news: BTreeMap<NewsKey, News>,
}

#[derive(Clone, Debug, Default)]
struct News {
    /// How often the change was sent, or received again from a host that had it already.
    sent: u32,
    /// The host that it came from, which needs no copy.
    from: Option<HostId>,
}

impl NewsQueue {
    /// Adds a change, or begins again when the record changed once more.
    pub fn push(&mut self, key: NewsKey, from: Option<HostId>) {
        self.news.insert(key, News { sent: 0, from });
    }

    /// Notes that another host already has a change. That counts as a transmission, because the change
    /// is then widely known: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance"
    /// (1987), feedback and counter.
    pub fn note_known(&mut self, key: &NewsKey) {
        if let Some(news) = self.news.get_mut(key) {
            news.sent += 1;
        }
    }

    /// Takes the changes for a message to a host, the least sent first, while `fits` accepts them.
    pub fn take(
        &mut self,
        to: &HostId,
        hosts: usize,
        mut fits: impl FnMut(&NewsKey) -> bool,
    ) -> Vec<NewsKey> {
        let limit = Self::transmissions(hosts);
        self.news.retain(|_, news| news.sent < limit);
        let mut due: Vec<(u32, NewsKey)> = self
            .news
            .iter()
            .filter(|(_, news)| news.from.as_ref() != Some(to))
            .map(|(key, news)| (news.sent, key.clone()))
            .collect();
        due.sort();
        let taken: Vec<NewsKey> =
            due.into_iter().map(|(_, key)| key).take_while(|key| fits(key)).collect();
        for key in &taken {
            self.note_known(key);
        }
        taken
    }

    /// Returns how many changes are still passed on.
    pub fn len(&self) -> usize {
        self.news.len()
    }

    /// Tells whether no change is passed on.
    pub fn is_empty(&self) -> bool {
        self.news.is_empty()
    }

    /// Returns how often a change is passed on among this many hosts: log2, rounded up, and one more.
    pub fn transmissions(hosts: usize) -> u32 {
        hosts.max(1).next_power_of_two().ilog2() + 1
    }
}

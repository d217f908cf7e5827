//! Membership: live hosts, suspicion and merging of news.

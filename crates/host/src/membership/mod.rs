//! Membership tasks: gossip, endpoint news and the spread of bundles.

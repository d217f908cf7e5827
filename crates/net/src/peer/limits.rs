//! Limits and timeouts of the calls between hosts.

use std::time::Duration;

/// Maximum size of a message that a host sends: a log entry with a bundle of 16 MiB fits. Bundles in force
/// are transferred in chunks.
pub const MESSAGE_LIMIT_BYTES: usize = 20 * 1024 * 1024;

/// Traversal limit of a message that a host reads, in words of 8 bytes. Twice the limit of the sender,
/// because the reader counts data again each time it is traversed.
pub(crate) const TRAVERSAL_LIMIT_WORDS: usize = 2 * MESSAGE_LIMIT_BYTES / 8;

/// Maximum nesting depth of a message; the schema needs 8.
pub(crate) const NESTING_LIMIT: i32 = 16;

/// Maximum data in one chunk of a snapshot.
pub const SNAPSHOT_CHUNK_LIMIT_BYTES: usize = 64 * 1024;

/// Maximum data in one chunk of a bundle.
pub const BUNDLE_CHUNK_LIMIT_BYTES: usize = 256 * 1024;

/// Maximum number of log entries in one append.
pub const ENTRIES_LIMIT: u32 = 4096;

/// Maximum number of records of each kind in one gossip message.
pub const GOSSIP_RECORDS_LIMIT: u32 = 512;

/// Maximum number of bucket hashes in one gossip message.
pub const BUCKETS_LIMIT: u32 = 1024;

/// Maximum length of each list of summaries, record keys or fingerprints in one gossip message.
pub const SUMMARIES_LIMIT: u32 = 4096;

/// Maximum number of models of an endpoint.
pub const MODELS_LIMIT: u32 = 64;

/// Maximum number of calls in flight from one client to its peer.
pub const CLIENT_CALLS_LIMIT: usize = 64;

/// Maximum number of calls that a server handles concurrently on one connection. Higher than
/// `CLIENT_CALLS_LIMIT`, because calls that the client has abandoned may still be running here.
pub const SERVER_CALLS_LIMIT: usize = 128;

/// Maximum number of connections from peers: two from every host of a large deployment, one of them for updates, and as
/// many again that are being replaced.
pub const SERVER_CONNECTIONS_LIMIT: usize = 2048;

/// Timeout of a client for the TCP connection and the hello together.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a server closes a connection that has not completed the hello.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// The first backoff delay between connection attempts, before jitter.
pub const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Maximum backoff delay. With a longer one, peers would see a restarted host as failed for longer than it
/// is down.
pub const BACKOFF_MAX: Duration = Duration::from_millis(1000);

/// Size of each read and write buffer of a connection. Small, because a host of a large deployment has 660
/// connections.
pub(crate) const STREAM_BUFFER_BYTES: usize = 4 * 1024;

/// Idle time before the first TCP keepalive probe, and the interval between probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);

/// The part of a call's deadline that is reserved for sending the reply. A leader that cannot commit then
/// still replies in time, and the caller does not close the connection as dead.
pub(crate) const REPLY_MARGIN: Duration = Duration::from_millis(50);

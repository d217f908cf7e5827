//! Bounds of the messages between hosts.

use std::time::Duration;

/// The largest message that a host sends, in bytes: a log entry with a bundle of 16 MiB. Bundles in force
/// travel in chunks.
pub const MESSAGE_LIMIT_BYTES: usize = 20 * 1024 * 1024;

/// The largest message that a host reads, in words of 8 bytes. Twice the limit of a sender, because the
/// reader counts what it traverses a second time.
pub(crate) const TRAVERSAL_LIMIT_WORDS: usize = 2 * MESSAGE_LIMIT_BYTES / 8;

/// The deepest nesting of a message; the schema needs 8.
pub(crate) const NESTING_LIMIT: i32 = 16;

/// The largest data of one piece of a snapshot, in bytes.
pub const SNAPSHOT_CHUNK_LIMIT_BYTES: usize = 64 * 1024;

/// The largest data of one piece of a bundle, in bytes.
pub const BUNDLE_CHUNK_LIMIT_BYTES: usize = 256 * 1024;

/// The most log entries in one append.
pub const ENTRIES_LIMIT: u32 = 4096;

/// The most records of each kind in one gossip message.
pub const GOSSIP_RECORDS_LIMIT: u32 = 512;

/// The most buckets of a digest.
pub const BUCKETS_LIMIT: u32 = 1024;

/// The most summaries or wanted keys in one gossip message.
pub const SUMMARIES_LIMIT: u32 = 4096;

/// The most models of an endpoint.
pub const MODELS_LIMIT: u32 = 64;

/// Calls to one peer that may be in flight.
pub const CLIENT_CALLS_LIMIT: usize = 64;

/// Calls of one connection that a host serves at the same time; above what one client sends, because a
/// client that gave up on a call does not know when the call ends here.
pub const SERVER_CALLS_LIMIT: usize = 128;

/// Connections that a host accepts from its peers: every host of a large deployment and as many again that
/// are being replaced.
pub const SERVER_CONNECTIONS_LIMIT: usize = 1024;

/// The longest time for a TCP connection and its hello.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time for a new connection to say hello before a server closes it.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// The shortest and longest wait between attempts to connect.
pub const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// See `BACKOFF_MIN`. Above it, a restarted host would look failed to its peers for longer than it is.
pub const BACKOFF_MAX: Duration = Duration::from_millis(1000);

/// Read and write buffers of a connection, in bytes each; a large deployment has 660 connections a host.
pub(crate) const STREAM_BUFFER_BYTES: usize = 4 * 1024;

/// Idle time after which the operating system probes a connection, and the time between its probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);

/// The part of a call's deadline that is kept for the way back, so that a leader that cannot commit still
/// answers, and its connection is not taken for dead.
pub(crate) const REPLY_MARGIN: Duration = Duration::from_millis(50);

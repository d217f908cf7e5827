//! Quantities: times, sizes, counts, rates and digests.

mod byte_count;
mod digest_error;
mod draw;
mod engine_time;
mod millis;
mod rate_error;
mod rate_per_second;
mod sha256_digest;
mod slots;
mod timestamp;
mod token_count;
mod wall_time;
mod weight;

pub use byte_count::ByteCount;
pub use digest_error::DigestError;
pub use draw::Draw;
pub use engine_time::EngineTime;
pub use millis::Millis;
pub use rate_error::RateError;
pub use rate_per_second::RatePerSecond;
pub use sha256_digest::Sha256Digest;
pub use slots::Slots;
pub use timestamp::Timestamp;
pub use token_count::TokenCount;
pub use wall_time::WallTime;
pub use weight::Weight;

//! Which endpoints serve: what they announce to control hosts, and what entry hosts learn of it.
//!
//! A control host notes the announcements that reach it and forgets an endpoint that falls silent. An entry
//! host follows all control hosts and joins what they list.

mod announcement;
mod announcement_table;
mod directory_table;
mod feed;
mod feed_reply;
mod listing;
mod serving_endpoint;
mod serving_state;

pub use announcement::Announcement;
pub use announcement_table::AnnouncementTable;
pub use directory_table::Directory;
pub use feed_reply::FeedReply;
pub use listing::Listing;
pub use serving_endpoint::ServingEndpoint;
pub use serving_state::ServingState;

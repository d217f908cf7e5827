//! Which endpoints serve: what they announce to control hosts, and what entry hosts learn of it.
//!
//! A control host notes the announcements that reach it and forgets an endpoint that falls silent. An entry
//! host follows all control hosts and joins what they list.

mod announcement;
mod announcement_table;
#[expect(clippy::module_inception, reason = "one type a file, under its own name")]
mod directory;
mod listing_change;
mod listing_update;
mod serving_endpoint;
mod serving_state;
mod subscription;

pub use announcement::Announcement;
pub use announcement_table::AnnouncementTable;
pub use directory::Directory;
pub use listing_change::ListingChange;
pub use listing_update::ListingUpdate;
pub use serving_endpoint::ServingEndpoint;
pub use serving_state::ServingState;

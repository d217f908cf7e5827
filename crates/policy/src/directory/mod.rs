//! Service discovery: endpoints announce themselves to control hosts, entry hosts subscribe to the listings.
//!
//! A control host records the announcements that reach it and removes an endpoint whose announcements stop. An
//! entry host subscribes to all control hosts and merges their listings.

mod announcement;
mod announcement_table;
mod departure;
mod departure_notice;
#[expect(clippy::module_inception, reason = "one type per file, named after it")]
mod directory;
mod listing_change;
mod listing_update;
mod serving_endpoint;
mod serving_state;
mod software_notice;
mod subscription;

pub use announcement::Announcement;
pub use announcement_table::AnnouncementTable;
pub use departure_notice::DepartureNotice;
pub use directory::Directory;
pub use listing_change::ListingChange;
pub use listing_update::ListingUpdate;
pub use serving_endpoint::ServingEndpoint;
pub use serving_state::ServingState;
pub use software_notice::SoftwareNotice;

//! Which endpoints may go on with a stream. What two software versions write does not fit together, so only the version
//! that wrote the first event may.

mod software_history;
mod stream_notice;
mod stream_records;
mod stream_writer;

pub use software_history::SoftwareHistory;
pub use stream_notice::StreamNotice;
pub use stream_records::StreamRecords;
pub use stream_writer::StreamWriter;

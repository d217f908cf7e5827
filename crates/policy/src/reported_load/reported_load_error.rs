use thiserror::Error;

/// The reason why a report is not usable.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReportedLoadError {
    /// The report has not three or four figures.
    #[error("the report has {0} figures instead of 3 or 4")]
    Count(usize),
    /// A figure is not a whole number, or no endpoint can mean it.
    #[error("figure {0:?} of the report is not a whole number from 0 to {1}")]
    Figure(Box<str>, u32),
    /// The endpoint has no slots.
    #[error("the report names no slots")]
    NoSlots,
}

use std::time::Duration;

/// How old the catalog may be by which a host denies a route or a key. It is longer than a control host takes to answer
/// while nothing changes, and shorter than a change may take to be in force everywhere.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Returns whether a host that may lack the changes of the last `news_age` may state that a route or a key does not exist.
pub fn may_deny(news_age: Duration) -> bool {
    news_age <= MAX_AGE
}

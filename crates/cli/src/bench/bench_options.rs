use super::SceneName;

/// What is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BenchOptions {
    /// The same seed gives the same requests.
    pub seed: u64,
    /// The only scene to run; all of them when there is none.
    pub scene: Option<SceneName>,
}

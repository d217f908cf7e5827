use masticstair_standins::StandInHandle;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultCase {
    /// One account sends ten times its share.
    Account,
    /// Twice the capacity is asked for during five seconds.
    Burst,
    /// The first replica of each pool answers with errors at once.
    Failing,
    /// Nothing.
    None,
    /// The first replica of each pool takes ten times as long.
    Slow,
}

impl FaultCase {
    /// Every case in the order in which they run.
    pub(super) const ALL: [Self; 5] =
        [Self::None, Self::Slow, Self::Failing, Self::Burst, Self::Account];

    /// Returns what is printed.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Account => "one account at 10x",
            Self::Burst => "burst to 2x capacity",
            Self::Failing => "one failing replica a pool",
            Self::None => "no fault",
            Self::Slow => "one slow replica a pool",
        }
    }

    /// Returns the least attainment that is wanted; of what capacity allows for a burst, and of the other
    /// accounts for the account.
    pub(super) fn target(self) -> f64 {
        match self {
            Self::Account | Self::Failing | Self::Slow => 0.98,
            Self::Burst => 0.9,
            Self::None => 0.99,
        }
    }

    /// Begins the fault on the first replica of a pool.
    pub(super) fn apply(self, replica: &StandInHandle) {
        match self {
            Self::Failing => replica.faults.set_failing(true),
            Self::Slow => replica.faults.set_slowdown(10.0),
            Self::Account | Self::Burst | Self::None => {}
        }
    }
}

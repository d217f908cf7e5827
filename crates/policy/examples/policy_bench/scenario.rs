use crate::fault::Fault;

/// Number of stages of a request, each with its own pool.
pub const STAGES: usize = 4;
/// Number of engines per pool.
pub const ENGINES: usize = 12;
/// Number of hosts; each decides independently.
pub const HOSTS: usize = 8;
/// Number of client accounts, all of equal weight.
pub const ACCOUNTS: usize = 5;
/// Number of data centres; hosts and engines are distributed evenly.
pub const DATA_CENTRES: usize = 4;
/// Round-trip time between data centres.
pub const ROUND_TRIP_US: u64 = 2_000;
/// Time from the arrival of a request to its deadline.
pub const DEADLINE_US: u64 = 4_000_000;
/// Processing time of a call at speed 1 without the time for its tokens, by stage.
pub const BASE_US: [u64; STAGES] = [80_000, 120_000, 200_000, 200_000];
/// Number of parallel slots of an engine, by stage.
pub const SLOTS: [u32; STAGES] = [2, 2, 4, 8];
/// Time per token of the last stage at speed 1.
pub const TOKEN_US: u64 = 20_000;
/// Minimum and maximum number of tokens of the last stage.
pub const TOKEN_RANGE: (u64, u64) = (20, 100);
/// Relative speeds of the engines of a pool; each data centre has one engine of each speed.
pub const SPEEDS: [f64; 3] = [1.0, 2.0, 4.0];
/// Index of the engine with a fault in each pool; it is one of the fastest.
pub const FAULTY_ENGINE: usize = 2;

/// Scenario of a run; times are in seconds, loads are ratios of the capacity without fault.
pub struct Scenario {
    pub name: &'static str,
    pub load: f64,
    pub seconds: u64,
    /// Requests that arrive before this time are not counted.
    pub warm_up: u64,
    pub fault: Fault,
    /// Start, duration and load of a burst.
    pub burst: Option<(u64, u64, f64)>,
    /// Requests of account 0 as a multiple of those of each other account.
    pub hot_factor: f64,
}

/// Returns the capacity in requests per second, which is that of the slowest pool.
pub fn capacity() -> f64 {
    let speed: f64 = SPEEDS.iter().sum::<f64>() * (ENGINES / SPEEDS.len()) as f64;
    let mean_tokens = (TOKEN_RANGE.0 + TOKEN_RANGE.1) as f64 / 2.0;
    let rate = |stage: usize| {
        let tokens = if stage == STAGES - 1 { mean_tokens * TOKEN_US as f64 } else { 0.0 };
        speed * f64::from(SLOTS[stage]) * 1e6 / (BASE_US[stage] as f64 + tokens)
    };
    (0..STAGES).map(rate).fold(f64::INFINITY, f64::min)
}

/// Returns the scenarios to run.
pub fn scenarios() -> Vec<Scenario> {
    let plain = || Scenario {
        name: "no fault",
        load: 0.7,
        seconds: 60,
        warm_up: 5,
        fault: Fault::None,
        burst: None,
        hot_factor: 1.0,
    };
    vec![
        plain(),
        Scenario { name: "one slow", fault: Fault::Slow, ..plain() },
        Scenario { name: "one failing", fault: Fault::Errors, ..plain() },
        Scenario { name: "burst 2x", burst: Some((20, 10, 2.0)), ..plain() },
        Scenario { name: "hot account", hot_factor: 10.0, ..plain() },
    ]
}

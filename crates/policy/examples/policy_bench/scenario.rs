use crate::fault::Fault;

/// Pools, in the order of the stages of each request.
pub const STAGES: usize = 4;
/// Engines in each pool.
pub const ENGINES: usize = 12;
/// Hosts that decide alone.
pub const HOSTS: usize = 8;
/// Client accounts of equal weight.
pub const ACCOUNTS: usize = 5;
/// Data centres; hosts and engines are spread evenly.
pub const DATA_CENTRES: usize = 4;
/// The time to another data centre and back, in microseconds.
pub const ROUND_TRIP_US: u64 = 2_000;
/// The deadline of each request after its arrival, in microseconds.
pub const DEADLINE_US: u64 = 4_000_000;
/// The time of a call at speed 1 without its tokens, in microseconds, by stage.
pub const BASE_US: [u64; STAGES] = [80_000, 120_000, 200_000, 200_000];
/// Parallel slots of an engine, by stage.
pub const SLOTS: [u32; STAGES] = [2, 2, 4, 8];
/// The time of a token of the last stage at speed 1, in microseconds.
pub const TOKEN_US: u64 = 20_000;
/// The least and greatest number of tokens of the last stage.
pub const TOKEN_RANGE: (u64, u64) = (20, 100);
/// Speeds of the engines of a pool; each data centre has one of each.
pub const SPEEDS: [f64; 3] = [1.0, 2.0, 4.0];
/// The engine with a fault: one of the fastest.
pub const FAULTY_ENGINE: usize = 2;

/// A scene; times are in seconds and loads are parts of the capacity without fault.
pub struct Scenario {
    pub name: &'static str,
    pub load: f64,
    pub seconds: u64,
    /// Requests that arrive earlier are not counted.
    pub warm_up: u64,
    pub fault: Fault,
    /// Start, length and load of a burst.
    pub burst: Option<(u64, u64, f64)>,
    /// Account 0 sends this multiple of the others.
    pub hot_factor: f64,
}

/// Returns the requests per second that the slowest pool can complete.
pub fn capacity() -> f64 {
    let speed: f64 = SPEEDS.iter().sum::<f64>() * (ENGINES / SPEEDS.len()) as f64;
    let mean_tokens = (TOKEN_RANGE.0 + TOKEN_RANGE.1) as f64 / 2.0;
    let rate = |stage: usize| {
        let tokens = if stage == STAGES - 1 { mean_tokens * TOKEN_US as f64 } else { 0.0 };
        speed * f64::from(SLOTS[stage]) * 1e6 / (BASE_US[stage] as f64 + tokens)
    };
    (0..STAGES).map(rate).fold(f64::INFINITY, f64::min)
}

/// Returns the scenes of the targets.
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

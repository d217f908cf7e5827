use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

use super::fault::Fault;
use super::link_state::LinkState;

/// The faults of a run. Everything except the timing of the tasks is determined by the seed.
#[derive(Debug)]
pub struct FaultPlan {
    pub voters: usize,
    pub spares: usize,
    pub sync_delay: Duration,
    pub link_delay: Duration,
    /// The faults, each with the delay before it.
    pub faults: Vec<(Duration, Fault)>,
}

impl FaultPlan {
    /// Derives the plan from a seed.
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let voters = if rng.random_bool(0.6) { 3 } else { 5 };
        let spares = rng.random_range(0..2);
        let mut faults = Vec::new();
        let mut left = 1_200u64;
        while left > 0 {
            let pause = rng.random_range(5..180).min(left);
            left -= pause;
            faults.push((Duration::from_millis(pause), draw(&mut rng, voters)));
        }
        Self {
            voters,
            spares,
            sync_delay: Duration::from_millis(rng.random_range(0..4)),
            link_delay: Duration::from_millis(rng.random_range(0..4)),
            faults,
        }
    }
}

fn draw(rng: &mut SmallRng, hosts: usize) -> Fault {
    let (a, b) = (rng.random_range(0..hosts), rng.random_range(0..hosts));
    match rng.random_range(0..20) {
        0..=1 => Fault::Kill(a),
        2..=3 => Fault::KillLeader,
        4..=7 => Fault::Start(a),
        8 => Fault::RestartAll,
        9..=10 => Fault::LoseDisk(a),
        11..=12 => {
            let link_state =
                if rng.random_bool(0.7) { LinkState::Silent } else { LinkState::Refused };
            Fault::Split((0..hosts).filter(|_| rng.random_bool(0.4)).collect(), link_state)
        }
        13 => Fault::OneWay(a, b, LinkState::Silent),
        14 => Fault::All(LinkState::Lossy(rng.random_range(0.02..0.3))),
        15..=16 => Fault::Heal,
        17 => Fault::SlowDisk(a, Duration::from_millis(rng.random_range(0..80))),
        18 => Fault::FailDisk(a),
        _ => Fault::Transfer,
    }
}

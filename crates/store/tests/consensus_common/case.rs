use futures_util::future::LocalBoxFuture;
use masticstair_store::consensus::Config;
use std::rc::Rc;
use std::time::Instant;

use super::cluster::Cluster;

/// A failure or a change, and what must hold after it.
pub struct Case {
    pub name: &'static str,
    pub voters: usize,
    pub spares: usize,
    pub run: fn(Rc<Cluster>) -> LocalBoxFuture<'static, ()>,
}

/// Runs each case on a new group.
pub fn run_cases(cfg: &Config, cases: &[Case]) {
    for case in cases {
        println!("case: {}", case.name);
        let began = Instant::now();
        let run = async {
            (case.run)(Cluster::start(cfg.clone(), case.voters, case.spares, 7).await).await;
        };
        masticstair_net::runtime::block_on(run).unwrap();
        println!("  took {} ms", began.elapsed().as_millis());
    }
}

use std::fs;
use std::ops::Sub;
use std::time::Duration;

/// Processor time that threads of this process have used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThreadCpu(pub Duration);

impl Sub for ThreadCpu {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

/// Returns the processor time of the threads of this process whose name begins with `prefix`.
///
/// Unlike rates, it hardly depends on what else the machine does.
pub fn thread_cpu(prefix: &str) -> ThreadCpu {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return ThreadCpu::default() };
    let nanos = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        if !name.starts_with(prefix) {
            return None;
        }
        let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        stat.split(' ').next()?.parse::<u64>().ok()
    });
    ThreadCpu(Duration::from_nanos(nanos.sum()))
}

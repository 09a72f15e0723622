//! Runs of simulated clusters under drawn faults.
use cottondyke_chaos::simulation::{ClusterSimulation, EventLog, SimulationConfig};

/// Guards the budget: whatever is lost, partitioned, paused, killed or loses its disk, the units in use never pass the
/// total, and are usable again once faults have ended.
#[test]
fn never_exceeds_the_budget_when_faults_are_injected() {
    for seed in 0..12 {
        let config = SimulationConfig::random(seed, 14);
        let result = ClusterSimulation::new(seed, config, EventLog::Off)
            .run()
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(result.calls > 100, "seed {seed}: {result:?}");
    }
}

/// Guards the simulation itself: a seed that failed fails again.
#[test]
fn plays_the_same_run_when_the_seed_is_the_same() {
    let run = || ClusterSimulation::new(5, SimulationConfig::random(5, 10), EventLog::Off).run();
    assert_eq!(run(), run());
}

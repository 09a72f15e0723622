//! Runs of simulated clusters with random faults.
use cottondyke_chaos::simulation::{ClusterSimulation, EventLog, SimulationConfig};

/// Guards against more units in use than the budget has when messages are lost and members are partitioned, paused,
/// killed or lose their disks, and against units that stay unusable after faults have ended.
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

/// Guards against a simulation that is not deterministic: a seed that failed must fail again.
#[test]
fn repeats_the_run_when_the_seed_is_the_same() {
    let run = || ClusterSimulation::new(5, SimulationConfig::random(5, 10), EventLog::Off).run();
    assert_eq!(run(), run());
}

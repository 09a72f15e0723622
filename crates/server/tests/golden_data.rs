//! The folder of an instance as the versions in use wrote it, taken over by this one.
use async_executor::LocalExecutor;
use cottondyke::clock::Clock;
use cottondyke::cluster::{self, status::query};
use cottondyke_cluster::NodeStatus;
use cottondyke_operator_config::{OperatorConfig, Peers};
use cottondyke_types::Time;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/data");
/// Far beyond any that the clock gives.
const LIFE: u64 = 9_000_000_000_000_000_000;

/// Runs the only keeper of a fleet from this folder until it leads; what it then knows.
fn leads(folder: &Path) -> NodeStatus {
    let port = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = port.local_addr().unwrap();
    drop(port);
    let peers = Peers {
        at: Default::default(),
        name: "alone".into(),
        zone: "z".into(),
        listen,
        advertise: None,
        probe_interval: Time(1000),
        replicas: vec![("alone".into(), listen)],
        data_dir: Some(folder.display().to_string()),
        lease_duration: Time(10_000),
        max_process_pause: Time(10_000),
    };
    let executor = Rc::new(LocalExecutor::new());
    let operator = OperatorConfig::default();
    let started = cluster::start(&operator, &peers, Clock::start(), executor.clone(), 1).unwrap();
    let second = cluster::start(&operator, &peers, Clock::start(), executor.clone(), 1);
    assert!(second.is_err());
    let asking = std::thread::spawn(move || {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let view = query(listen).unwrap();
            if view.is_leader || Instant::now() > end {
                return view;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let running = executor.spawn(started.run());
    async_io::block_on(executor.run(async {
        while !asking.is_finished() {
            async_io::Timer::after(Duration::from_millis(10)).await;
        }
        running.cancel().await;
    }));
    asking.join().unwrap()
}

fn names(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).unwrap();
    let mut names: Vec<String> = entries
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .filter(|name| !name.ends_with("-wal") && !name.ends_with("-shm"))
        .collect();
    names.sort();
    names
}

#[test]
fn counts_on_and_keeps_the_table_when_an_older_build_wrote_the_folder() {
    let folder = std::env::temp_dir().join(format!("golden-data-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    assert_eq!(names(Path::new(FIXTURE)), ["life", "lock", "registry.db"]);
    for name in names(Path::new(FIXTURE)) {
        std::fs::copy(Path::new(FIXTURE).join(&name), folder.join(&name)).unwrap();
    }
    let life = || std::fs::read_to_string(folder.join("life")).unwrap();
    assert_eq!(life(), format!("{LIFE}\n"));
    for next in 1..=2 {
        let view = leads(&folder);
        assert_eq!(names(&folder), ["life", "lock", "registry.db"]);
        assert_eq!(life(), format!("{}\n", LIFE + next));
        assert!(view.is_leader && view.is_replica && view.incarnation == LIFE + next);
        assert!(view.name == "alone" && view.leader.as_deref() == Some("alone"));
        let budget = &view.budgets[0];
        assert!(view.budgets.len() == 1 && budget.name == "db" && budget.quotas.len() == 1);
        assert!(budget.units == 200 && budget.expiry_grace_ms == 3_600_000);
        let share = &budget.quotas[0];
        assert!(share.holder.starts_with('b') && share.amount == 9 && share.epoch == 1);
        assert!(!share.fenced);
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

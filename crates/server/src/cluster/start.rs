//! Starts the cluster driver: binds its port, opens its data directory, and runs its tasks.
use super::data_dir::{new_incarnation, DataDirectory, StorageResult, StorageThread};
use super::error::ClusterError;
use super::{links, ClusterDriver, USAGE_INTERVAL};
use crate::clock::Clock;
use crate::tasks::propagate_panic;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cottondyke_cluster::{ClusterNode, NodeConfig};
use cottondyke_consensus::PersistedState;
use cottondyke_operator_config::{OperatorConfig, Peers};
use cottondyke_quota::{Holder, LeaseConfig, Safeguards};
use cottondyke_types::Time;
use futures_lite::FutureExt;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

/// How many ports are tried if the operating system chooses the port.
const BIND_ATTEMPTS: usize = 16;
/// The shortest interval between two runs of the node's timers.
const MIN_TIMER_STEP: Time = Time(1);

/// A cluster driver with bound sockets and open storage, whose tasks are yet to [`run`](Self::run).
pub struct StartedCluster {
    /// The driver, for the parts of the server that use quotas.
    pub driver: Rc<ClusterDriver>,
    listener: Async<TcpListener>,
    storage_results: Option<Receiver<StorageResult>>,
    /// Holds the lock on the data directory.
    _data_dir: Option<DataDirectory>,
}

/// Binds one port number for TCP links and UDP datagrams. If the operating system chooses the port, one that is free
/// for TCP may be in use for UDP; then another one is tried.
fn bind(addr: SocketAddr) -> io::Result<(Async<TcpListener>, Async<UdpSocket>)> {
    let mut remaining_attempts = if addr.port() == 0 { BIND_ATTEMPTS } else { 1 };
    loop {
        let listener = Async::<TcpListener>::bind(addr)?;
        remaining_attempts -= 1;
        match Async::<UdpSocket>::bind(listener.get_ref().local_addr()?) {
            Ok(udp_socket) => return Ok((listener, udp_socket)),
            Err(e) if remaining_attempts == 0 => return Err(e),
            Err(_) => {}
        }
    }
}

/// The replica's storage; empty if this instance holds no replica.
#[derive(Default)]
struct Storage {
    thread: Option<StorageThread>,
    state: Option<PersistedState>,
    results: Option<Receiver<StorageResult>>,
}

impl Storage {
    fn open(data_dir: &DataDirectory) -> Result<Self, ClusterError> {
        let (storage, state) = data_dir.open_replica()?;
        let (thread, results) =
            StorageThread::start(storage).map_err(ClusterError::StorageThread)?;
        Ok(Storage {
            thread: Some(thread),
            state: Some(state),
            results: Some(results),
        })
    }
}

/// Binds the port, opens the data directory and creates the driver. `seed` seeds the node's pseudo-random choices.
pub fn start(
    operator: &OperatorConfig,
    peers: &Peers,
    clock: Clock,
    tasks: Rc<LocalExecutor<'static>>,
    seed: u64,
) -> Result<StartedCluster, ClusterError> {
    open(operator, peers, clock, tasks, seed).map_err(|error| ClusterError::InOperatorFile {
        file: peers.at.file.clone(),
        line: peers.at.line,
        source: Box::new(error),
    })
}

fn open(
    operator: &OperatorConfig,
    peers: &Peers,
    clock: Clock,
    tasks: Rc<LocalExecutor<'static>>,
    seed: u64,
) -> Result<StartedCluster, ClusterError> {
    let (listener, udp_socket) = bind(peers.listen).map_err(|source| ClusterError::Listen {
        addr: peers.listen,
        source,
    })?;
    let bound = listener.get_ref().local_addr().unwrap_or(peers.listen);
    let data_dir = peers
        .data_dir
        .as_deref()
        .map(DataDirectory::open)
        .transpose()?;
    let is_replica = peers.is_replica();
    let storage = match &data_dir {
        Some(data_dir) if is_replica => Storage::open(data_dir)?,
        _ => Storage::default(),
    };
    let incarnation = data_dir
        .as_ref()
        .map_or_else(new_incarnation, |data_dir| data_dir.incarnation);
    let config = NodeConfig {
        zone: peers.zone.clone(),
        addr: peers.advertise.unwrap_or(bound),
        probe_interval: peers.probe_interval,
        suspicion_enabled: operator.has_safeguard("suspicion"),
        holder: Holder {
            name: peers.name.clone(),
            incarnation,
        },
        previous_incarnation: data_dir.as_ref().and_then(|d| d.previous_incarnation),
        replicas: peers.replicas.iter().cloned().collect(),
        budgets: operator.shared_budgets(),
        lease_config: lease_config(operator, peers),
        seed: seed ^ incarnation,
    };
    let node = ClusterNode::new(config, storage.state.as_ref()).map_err(ClusterError::Node)?;
    let driver = ClusterDriver::new(
        node,
        peers.clone(),
        clock,
        udp_socket,
        storage.thread,
        tasks,
    );
    tracing::info!(name = peers.name, incarnation, listen = %bound, "listening for peers");
    Ok(StartedCluster {
        driver,
        listener,
        storage_results: storage.results,
        _data_dir: data_dir,
    })
}

fn lease_config(operator: &OperatorConfig, peers: &Peers) -> LeaseConfig {
    LeaseConfig {
        lease_duration: peers.lease_duration,
        max_process_pause: peers.max_process_pause,
        safeguards: Safeguards {
            lease: operator.has_safeguard("lease"),
            fence: operator.has_safeguard("fence"),
            expiry_grace: operator.has_safeguard("linger"),
            demand: operator.has_safeguard("need"),
        },
    }
}

/// Runs the node's timers; never completes.
async fn run_timers(driver: &ClusterDriver) {
    loop {
        let now = driver.clock.now();
        driver.step(|node| node.handle_timer(now));
        let next = driver.node.borrow().next_timer();
        let next = next.min(now + USAGE_INTERVAL).max(now + MIN_TIMER_STEP);
        Timer::at(driver.clock.instant(next)).await;
    }
}

impl StartedCluster {
    /// Runs the tasks for links, datagrams and storage, and the node's timers. A panic of any of them is passed on, which
    /// ends the server. The others run on after the storage task has ended because of an error.
    pub async fn run(self) {
        let StartedCluster {
            driver,
            listener,
            storage_results,
            _data_dir,
        } = self;
        let receiving = driver.tasks.spawn(driver.clone().receive_datagrams());
        let accepting = driver.tasks.spawn(links::accept(driver.clone(), listener));
        let storing = storage_results.map(|results| {
            driver
                .tasks
                .spawn(driver.clone().handle_storage_results(results))
        });
        run_timers(&driver)
            .or(propagate_panic(Some(accepting)))
            .or(propagate_panic(Some(receiving)))
            .or(propagate_panic(storing))
            .await;
    }
}

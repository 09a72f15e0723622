//! Starts an instance among its peers: its port, its data directory, and the tasks that serve them.
use super::data_dir::{new_incarnation, DataDirectory, StorageResult, StorageThread};
use super::error::ClusterError;
use super::{links, ClusterDriver, USAGE_INTERVAL};
use crate::clock::Clock;
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use cottondyke_cluster::{ClusterNode, NodeConfig};
use cottondyke_consensus::PersistedState;
use cottondyke_operator_config::{OperatorConfig, Peers};
use cottondyke_quota::{Holder, LeaseConfig, Safeguards};
use cottondyke_types::Time;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

/// Ports that are tried where the system chooses one.
const BIND_ATTEMPTS: usize = 16;
/// The shortest wait between two steps of the node's timers.
const MIN_TIMER_STEP: Time = Time(1);

/// What is started with the program: the driver, and what its tasks need.
pub struct StartedCluster {
    /// The driver.
    pub driver: Rc<ClusterDriver>,
    listener: Async<TcpListener>,
    stored: Option<Receiver<StorageResult>>,
    /// Keeps other processes out of the directory.
    _data_dir: Option<DataDirectory>,
}

/// One port for links and datagrams. Where the system chooses it, one that is free for links may be taken for
/// datagrams: then another is tried.
fn bind(addr: SocketAddr) -> io::Result<(Async<TcpListener>, Async<UdpSocket>)> {
    let mut attempts = if addr.port() == 0 { BIND_ATTEMPTS } else { 1 };
    loop {
        let listener = Async::<TcpListener>::bind(addr)?;
        attempts -= 1;
        match Async::<UdpSocket>::bind(listener.get_ref().local_addr()?) {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(e) if attempts == 0 => return Err(e),
            Err(_) => {}
        }
    }
}

/// The replica's storage, where this instance has one.
#[derive(Default)]
struct Storage {
    thread: Option<StorageThread>,
    state: Option<PersistedState>,
    stored: Option<Receiver<StorageResult>>,
}

impl Storage {
    fn open(data_dir: &DataDirectory) -> Result<Self, ClusterError> {
        let (storage, state) = data_dir.open_replica()?;
        let (thread, stored) =
            StorageThread::start(storage).map_err(ClusterError::StorageThread)?;
        Ok(Storage {
            thread: Some(thread),
            state: Some(state),
            stored: Some(stored),
        })
    }
}

/// Opens the directory and the port. `seed` is of the node's random numbers.
pub fn start(
    operator: &OperatorConfig,
    peers: &Peers,
    clock: Clock,
    tasks: Rc<LocalExecutor<'static>>,
    seed: u64,
) -> Result<StartedCluster, ClusterError> {
    open(operator, peers, clock, tasks, seed).map_err(|error| ClusterError::At {
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
    let (listener, datagrams) = bind(peers.listen).map_err(|source| ClusterError::Listen {
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
    let driver = ClusterDriver::new(node, peers.clone(), clock, datagrams, storage.thread, tasks);
    tracing::info!(name = peers.name, life = incarnation, listen = %bound, "among peers");
    Ok(StartedCluster {
        driver,
        listener,
        stored: storage.stored,
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
            post_cancel_grace: operator.has_safeguard("linger"),
            demand: operator.has_safeguard("need"),
        },
    }
}

impl StartedCluster {
    /// Serves the links, the storage and the node's own timers; ends only with a panic of one of its tasks.
    pub async fn run(self) {
        let StartedCluster {
            driver,
            listener,
            stored,
            _data_dir,
        } = self;
        let receiving = driver.tasks.spawn(driver.clone().receive_datagrams());
        let accepting = driver.tasks.spawn(links::accept(driver.clone(), listener));
        let storing =
            stored.map(|stored| driver.tasks.spawn(driver.clone().follow_storage(stored)));
        loop {
            let now = driver.clock.now();
            driver.step(|node| node.handle_timer(now));
            let next = driver.node.borrow().next_timer();
            let next = next.min(now + USAGE_INTERVAL).max(now + MIN_TIMER_STEP);
            Timer::at(driver.clock.instant(next)).await;
            // A task that ended by a panic must not be missed.
            let has_ended = accepting.is_finished()
                || receiving.is_finished()
                || storing.as_ref().is_some_and(Task::is_finished);
            if has_ended {
                break;
            }
        }
        accepting.await;
        receiving.await;
        if let Some(storing) = storing {
            storing.await;
        }
    }
}

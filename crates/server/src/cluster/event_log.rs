//! Logs cluster events, one line each.
use cottondyke_cluster::ClusterEvent;

pub(super) fn log(event: &ClusterEvent) {
    match event {
        ClusterEvent::QuotaChanged {
            budget,
            before,
            now,
            epoch,
        } => {
            tracing::debug!(budget, before, now, epoch = epoch.0, "quota changed");
        }
        ClusterEvent::LeaseChanged { in_force: true } => tracing::info!("quota lease acquired"),
        ClusterEvent::LeaseChanged { in_force: false } => {
            tracing::warn!("quota lease expired; no units of shared budgets are available")
        }
        ClusterEvent::LeadershipChanged { is_leader: true } => {
            tracing::info!("became the leader of the replicas")
        }
        ClusterEvent::LeadershipChanged { is_leader: false } => {
            tracing::info!("no longer the leader of the replicas")
        }
        ClusterEvent::Bootstrapped { replicas } => {
            tracing::info!(replicas, "replica group bootstrapped")
        }
        ClusterEvent::MemberUp(member) => {
            let (name, zone) = (&member.name, &member.zone);
            tracing::info!(name, zone, incarnation = member.incarnation, "member up")
        }
        ClusterEvent::MemberDown(member) => {
            let name = &member.name;
            tracing::warn!(name, incarnation = member.incarnation, "member down")
        }
        ClusterEvent::Rejoined => {
            tracing::warn!("other members had declared this instance dead; rejoined")
        }
        ClusterEvent::DuplicateName(member) => {
            let (name, addr) = (&member.name, member.addr);
            tracing::error!(name, %addr, "another process uses this instance's name");
        }
        ClusterEvent::ReplicaFailed => {
            tracing::error!("replica failed; it no longer takes part in consensus")
        }
    }
}

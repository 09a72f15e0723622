//! Model checking of the lease protocol with stateright. The model runs the real table, lease manager and lease
//! holders, and a bounded search explores the orders of events between them: messages are lost, late or duplicated,
//! commands are committed one by one, the leader changes, holders crash or are suspended in the middle of a call, and
//! the cluster is bootstrapped again. In every state the units that are in use, or usable without another message, must
//! not exceed the budget.

mod cluster;

use cluster::{
    ClusterState, Member, Message, BUDGET, CLOCK_STEP, LEASE_DURATION, MAX_CLOCK_STEPS,
    MAX_PROCESS_PAUSE, UNITS,
};
use cottondyke_quota::{LeaseConfig, QuotaTable, Safeguards};
use cottondyke_types::Time;
use stateright::{Checker, Model, Property, UniformChooser};

const NEVER_OVER_BUDGET: &str = "never over budget";

#[derive(Clone, Debug, PartialEq)]
enum Action {
    AdvanceClock,
    SendRequest {
        member: usize,
    },
    BeginCall {
        member: usize,
    },
    Suspend {
        member: usize,
    },
    Resume {
        member: usize,
    },
    Deliver {
        message: usize,
    },
    Duplicate {
        message: usize,
    },
    Drop {
        message: usize,
    },
    RunLeader {
        uncommitted: usize,
    },
    ChangeLeader,
    /// A process ends and is restarted, with or without the knowledge that the earlier one ended.
    Crash {
        member: usize,
        termination_known: bool,
    },
    Bootstrap,
}

struct LeaseModel {
    safeguards: Safeguards,
}

impl LeaseModel {
    fn config(&self) -> LeaseConfig {
        LeaseConfig {
            lease_duration: LEASE_DURATION,
            max_process_pause: MAX_PROCESS_PAUSE,
            safeguards: self.safeguards,
        }
    }
}

impl Model for LeaseModel {
    type State = ClusterState;
    type Action = Action;

    fn init_states(&self) -> Vec<ClusterState> {
        vec![ClusterState::new(self.config())]
    }

    fn actions(&self, state: &ClusterState, actions: &mut Vec<Action>) {
        // A suspended process resumes within `MAX_PROCESS_PAUSE`, so the clock waits for it.
        let must_resume = state.members.iter().any(|member| {
            member
                .suspended_at
                .is_some_and(|at| state.now >= at + MAX_PROCESS_PAUSE)
        });
        if state.now < Time(MAX_CLOCK_STEPS * CLOCK_STEP) && !must_resume {
            actions.push(Action::AdvanceClock);
        }
        for (index, member) in state.members.iter().enumerate() {
            member_actions(state, index, member, actions);
        }
        for message in 0..state.messages.len() {
            actions.extend([Action::Deliver { message }, Action::Drop { message }]);
            actions
                .extend((state.remaining.duplicates > 0).then_some(Action::Duplicate { message }));
        }
        actions.extend([0, 1].map(|uncommitted| Action::RunLeader { uncommitted }));
        actions.extend((state.remaining.leader_changes > 0).then_some(Action::ChangeLeader));
        actions.extend((state.remaining.bootstraps > 0).then_some(Action::Bootstrap));
    }

    fn next_state(&self, state: &ClusterState, action: Action) -> Option<ClusterState> {
        let mut next = state.clone();
        let now = next.now;
        match action {
            Action::AdvanceClock => next.advance_clock(),
            Action::SendRequest { member } => {
                let request = next.members[member].next_request(now)?;
                next.send(Message::Request(request));
            }
            Action::BeginCall { member } => next.members[member].calls.push(now),
            Action::Suspend { member } => next.members[member].suspended_at = Some(now),
            Action::Resume { member } => {
                let member = &mut next.members[member];
                member.suspended_at = None;
                member.calls.push(now);
            }
            Action::Deliver { message } => {
                let message = next.messages.remove(message);
                next.deliver(message);
            }
            Action::Duplicate { message } => {
                next.remaining.duplicates -= 1;
                let message = next.messages[message].clone();
                next.deliver(message);
            }
            Action::Drop { message } => drop(next.messages.remove(message)),
            Action::RunLeader { uncommitted } => next.run_leader(uncommitted),
            Action::ChangeLeader => {
                next.remaining.leader_changes -= 1;
                next.lease_manager.set_leadership(Some(now));
            }
            Action::Crash {
                member: index,
                termination_known,
            } => {
                next.remaining.crashes -= 1;
                let old = next.members[index].clone();
                next.orphaned_calls.extend(old.calls);
                let previous = termination_known.then_some(old.incarnation);
                next.members[index] =
                    Member::new(index, old.incarnation + 2, previous, self.config());
            }
            Action::Bootstrap => {
                next.remaining.bootstraps -= 1;
                next.table = QuotaTable::default();
                next.proposed = Vec::new();
                next.lease_manager.set_leadership(Some(now));
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            NEVER_OVER_BUDGET,
            |_, state: &ClusterState| state.usable_units() <= UNITS,
        )]
    }
}

fn member_actions(state: &ClusterState, index: usize, member: &Member, actions: &mut Vec<Action>) {
    if let Some(at) = member.suspended_at {
        // No process is suspended for longer than `MAX_PROCESS_PAUSE`.
        let may_resume = state.now <= at + MAX_PROCESS_PAUSE;
        actions.extend(may_resume.then_some(Action::Resume { member: index }));
        return;
    }
    if member.clone().next_request(state.now).is_some() {
        actions.push(Action::SendRequest { member: index });
    }
    if member.units_in_use() < member.lease_holder.available(state.now, BUDGET) {
        actions.extend([
            Action::BeginCall { member: index },
            Action::Suspend { member: index },
        ]);
    }
    if state.remaining.crashes > 0 {
        actions.extend([true, false].map(|termination_known| Action::Crash {
            member: index,
            termination_known,
        }));
    }
}

/// Number of states that a search visits; it ends earlier if it finds a counterexample.
const MAX_STATES: usize = 200_000;

/// The order in which states are visited.
#[derive(Clone, Copy)]
enum Search {
    /// All orders of events, the shortest first.
    BreadthFirst,
    /// Long random orders of events, generated from this seed.
    Simulation { seed: u64 },
}

/// The sequence of actions that leads to a violation, if the search finds one.
fn find_violation(safeguards: Safeguards, search: Search) -> Option<Vec<Action>> {
    let checker = LeaseModel { safeguards }
        .checker()
        .threads(4)
        .target_state_count(MAX_STATES);
    let violation = match search {
        Search::BreadthFirst => checker.spawn_bfs().join().discovery(NEVER_OVER_BUDGET),
        Search::Simulation { seed } => checker
            .spawn_simulation(seed, UniformChooser)
            .join()
            .discovery(NEVER_OVER_BUDGET),
    };
    violation.map(|path| path.into_actions())
}

/// Guards against exceeding the budget in any order of events that the search reaches: all short ones, and a random
/// sample of long ones.
#[test]
fn never_exceeds_the_budget_in_any_order_of_events() {
    let all = Safeguards::default();
    assert_eq!(find_violation(all, Search::BreadthFirst), None);
    assert_eq!(find_violation(all, Search::Simulation { seed: 1 }), None);
}

/// Guards against a model that cannot detect violations: with the lease, the fence or the expiry grace disabled,
/// the search must find one.
#[test]
fn finds_a_violation_when_any_safeguard_is_off() {
    let all = Safeguards::default();
    let without_lease = Safeguards {
        lease: false,
        ..all
    };
    let without_fence = Safeguards {
        fence: false,
        ..all
    };
    let without_grace = Safeguards {
        expiry_grace: false,
        ..all
    };
    let cases = [
        ("lease", without_lease),
        ("fence", without_fence),
        ("expiry grace", without_grace),
    ];
    for (name, safeguards) in cases {
        let simulations = (1..4).map(|seed| Search::Simulation { seed });
        let violation = std::iter::once(Search::BreadthFirst)
            .chain(simulations)
            .find_map(|search| find_violation(safeguards, search));
        assert!(violation.is_some(), "no violation found without {name}");
    }
}

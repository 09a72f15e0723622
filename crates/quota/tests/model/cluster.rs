//! The state of the model and its transitions: a cluster with one budget, one leader at a time and two members.

use cottondyke_quota::*;
use cottondyke_types::Time;
use std::hash::{Hash, Hasher};

pub(crate) const BUDGET: &str = "calls";
pub(crate) const UNITS: u32 = 2;
/// The clock advances in steps of half a lease. A call lasts for at most three steps, and no process is suspended for
/// longer than one.
pub(crate) const CLOCK_STEP: i64 = 500;
pub(crate) const LEASE_DURATION: Time = Time(2 * CLOCK_STEP);
pub(crate) const EXPIRY_GRACE: Time = Time(3 * CLOCK_STEP);
pub(crate) const MAX_PROCESS_PAUSE: Time = Time(CLOCK_STEP);
pub(crate) const MAX_CLOCK_STEPS: i64 = 12;
/// Maximum number of messages in flight; further ones are lost.
pub(crate) const MAX_MESSAGES: usize = 3;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Message {
    Request(LeaseRequest),
    Response(LeaseResponse),
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) incarnation: u64,
    pub(crate) lease_holder: LeaseHolder,
    /// The start times of its calls.
    pub(crate) calls: Vec<Time>,
    /// Since when it is suspended between checking its lease and sending a call.
    pub(crate) suspended_at: Option<Time>,
    needs_units_initially: bool,
}

impl Member {
    /// Creates the member with this index. The first member needs all units initially, the second one later.
    pub(crate) fn new(
        index: usize,
        incarnation: u64,
        previous_incarnation: Option<u64>,
        config: LeaseConfig,
    ) -> Self {
        let holder = Holder {
            name: ["a", "b"][index].to_string(),
            incarnation,
        };
        let mut lease_holder = LeaseHolder::new(holder, previous_incarnation, config);
        lease_holder.set_budgets([BUDGET.to_string()].into_iter());
        Member {
            incarnation,
            lease_holder,
            calls: Vec::new(),
            suspended_at: None,
            needs_units_initially: index == 0,
        }
    }

    /// The request that is due, if any.
    pub(crate) fn next_request(&mut self, now: Time) -> Option<LeaseRequest> {
        let needs_units = self.needs_units_initially == (now < Time(CLOCK_STEP));
        let usage = Usage {
            in_use: self.units_in_use(),
            needed: if needs_units { UNITS } else { 0 },
            weight: 1.0,
        };
        self.lease_holder.record_usage(BUDGET, usage);
        self.lease_holder.next_request(now)
    }

    pub(crate) fn units_in_use(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Units that are in use, or could be without another message.
    pub(crate) fn usable_units(&self, now: Time) -> u32 {
        if self.suspended_at.is_some() {
            return self.units_in_use() + 1;
        }
        self.units_in_use()
            .max(self.lease_holder.available(now, BUDGET))
    }
}

/// How many more faults of each kind the model may inject.
#[derive(Clone, Debug)]
pub(crate) struct RemainingFaults {
    pub(crate) duplicates: u8,
    pub(crate) crashes: u8,
    pub(crate) leader_changes: u8,
    pub(crate) bootstraps: u8,
}

/// Two states are equal if their debug output is.
#[derive(Clone, Debug)]
pub(crate) struct ClusterState {
    pub(crate) now: Time,
    pub(crate) table: QuotaTable,
    pub(crate) lease_manager: LeaseManager,
    /// Commands that are proposed and not committed yet.
    pub(crate) proposed: Vec<Command>,
    pub(crate) messages: Vec<Message>,
    pub(crate) members: Vec<Member>,
    /// The start times of calls that the dependency still processes although the process that sent them crashed.
    pub(crate) orphaned_calls: Vec<Time>,
    pub(crate) remaining: RemainingFaults,
}

impl PartialEq for ClusterState {
    fn eq(&self, other: &ClusterState) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Hash for ClusterState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl ClusterState {
    /// The initial state: the first member holds all units and has just received an answer.
    pub(crate) fn new(config: LeaseConfig) -> Self {
        let mut state = ClusterState {
            now: Time(0),
            table: QuotaTable::default(),
            lease_manager: LeaseManager::new(config),
            proposed: Vec::new(),
            messages: Vec::new(),
            members: vec![
                Member::new(0, 1, None, config),
                Member::new(1, 2, None, config),
            ],
            orphaned_calls: Vec::new(),
            remaining: RemainingFaults {
                duplicates: 1,
                crashes: 1,
                leader_changes: 1,
                bootstraps: 1,
            },
        };
        state
            .lease_manager
            .set_leadership(Some(Time(-10 * CLOCK_STEP)));
        for command in initial_commands(state.members[0].lease_holder.holder()) {
            state.table.apply(&command).expect("the first commands fit");
        }
        let request = state.members[0]
            .next_request(state.now)
            .expect("the first request is due");
        state.lease_manager.handle_request(state.now, request);
        state.run_leader(0);
        while let Some(message) = state.messages.pop() {
            state.deliver(message);
        }
        state
    }

    /// Sends a message, or loses it if too many are in flight.
    pub(crate) fn send(&mut self, message: Message) {
        if self.messages.len() < MAX_MESSAGES {
            self.messages.push(message);
        }
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(request) => self.lease_manager.handle_request(self.now, request),
            Message::Response(response) => {
                let recipient = self.members.iter_mut().find(|member| {
                    *member.lease_holder.holder() == response.holder
                        && member.suspended_at.is_none()
                });
                if let Some(member) = recipient {
                    member.lease_holder.handle_response(&response);
                }
            }
        }
    }

    /// The leader plans, and all proposed commands except the last `uncommitted` ones are committed. Then it confirms
    /// its leadership, answers requests and notifies holders.
    pub(crate) fn run_leader(&mut self, uncommitted: usize) {
        let specs = [BudgetSpec {
            name: BUDGET.to_string(),
            units: UNITS,
            expiry_grace: EXPIRY_GRACE,
        }];
        let planned = self
            .lease_manager
            .plan_commands(self.now, &self.table, &specs);
        self.proposed.extend(planned);
        let committed = self.proposed.len().saturating_sub(uncommitted);
        for command in self.proposed.drain(..committed) {
            // Stale commands are rejected here as they are on the replicas.
            let _ = self.table.apply(&command);
            self.lease_manager.handle_applied(&self.table);
        }
        let mut responses = Vec::new();
        if let Some(round) = self.lease_manager.start_read_index() {
            responses = self.lease_manager.handle_read_index(round, &self.table);
        }
        responses.extend(self.lease_manager.pending_notifications(&self.table));
        for response in responses {
            self.send(Message::Response(response));
        }
    }

    pub(crate) fn advance_clock(&mut self) {
        self.now += Time(CLOCK_STEP);
        let now = self.now;
        let in_progress = |started_at: &Time| *started_at + EXPIRY_GRACE > now;
        for member in &mut self.members {
            member.calls.retain(in_progress);
        }
        self.orphaned_calls.retain(in_progress);
    }

    pub(crate) fn usable_units(&self) -> u32 {
        let by_members: u32 = self
            .members
            .iter()
            .map(|member| member.usable_units(self.now))
            .sum();
        by_members + self.orphaned_calls.len() as u32
    }
}

fn initial_commands(first_holder: &Holder) -> [Command; 3] {
    [
        Command::Open,
        Command::SetBudget {
            budget: BUDGET.into(),
            units: UNITS,
            expiry_grace: EXPIRY_GRACE.0,
        },
        Command::RaiseQuota {
            budget: BUDGET.into(),
            holder: first_holder.clone(),
            amount: UNITS,
            expected_epoch: None,
        },
    ]
}

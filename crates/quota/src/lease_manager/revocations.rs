//! Fencings that this leader proposed: those that are not settled yet, and when the quarantine of each fenced quota
//! started.

use crate::{Command, Epoch, Holder, QuotaTable};
use cottondyke_types::Time;
use std::collections::BTreeMap;

/// Identifies one quota.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QuotaKey {
    budget: String,
    holder: Holder,
}

impl QuotaKey {
    fn new(budget: &str, holder: &Holder) -> Self {
        QuotaKey {
            budget: budget.to_string(),
            holder: holder.clone(),
        }
    }
}

/// The proposed fencings of one leadership. A fencing is settled once it was applied, or was rejected because its quota
/// was removed or has another epoch.
#[derive(Clone, Debug, Default)]
pub(super) struct Fencings {
    /// The epoch that each proposed fencing expects. Until it is settled, the holder must not be granted anything, even
    /// if it has sent a request since: the fencing may be committed at any moment.
    pending: BTreeMap<QuotaKey, Epoch>,
    /// When each fencing that leaves units quarantined was proposed.
    fenced_at: BTreeMap<QuotaKey, Time>,
}

impl Fencings {
    /// Records a proposed command if it is a fencing.
    pub(super) fn record(&mut self, now: Time, command: &Command) {
        let Command::FenceHolder {
            budget,
            holder,
            quarantined,
            expected_epoch,
        } = command
        else {
            return;
        };
        let key = QuotaKey::new(budget, holder);
        if *quarantined > 0 {
            self.fenced_at.insert(key.clone(), now);
        }
        self.pending.insert(key, *expected_epoch);
    }

    /// Removes the entries that are settled by commands that were applied to the table.
    pub(super) fn settle(&mut self, table: &QuotaTable) {
        // A raise may have been committed before a fencing. The fencing is then rejected because of its old epoch.
        self.pending.retain(|key, expected_epoch| {
            table
                .quota(&key.budget, &key.holder)
                .is_some_and(|quota| quota.epoch == *expected_epoch)
        });
        let pending = &self.pending;
        // Commands that were proposed together with a fencing may be applied before it: the quota is not fenced yet,
        // and the start of its quarantine must not be lost.
        self.fenced_at.retain(|key, _| {
            pending.contains_key(key)
                || table
                    .quota(&key.budget, &key.holder)
                    .is_some_and(|quota| quota.fenced)
        });
    }

    pub(super) fn is_pending(&self, budget: &str, holder: &Holder) -> bool {
        self.pending.contains_key(&QuotaKey::new(budget, holder))
    }

    /// Whether a fencing that expects this epoch is not settled.
    pub(super) fn is_pending_at(&self, budget: &str, holder: &Holder, epoch: Epoch) -> bool {
        let key = QuotaKey::new(budget, holder);
        self.pending.get(&key) == Some(&epoch)
    }

    /// When this leader proposed to fence the quota.
    pub(super) fn fenced_at(&self, budget: &str, holder: &Holder) -> Option<Time> {
        self.fenced_at.get(&QuotaKey::new(budget, holder)).copied()
    }
}

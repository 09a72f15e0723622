//! The inputs of the controller: each is recorded, then the rules of the policy are evaluated until none fires.

use crate::actions::Actions;
use crate::arrival::{Arrival, CallOutcome, LoadSample, RunOutcome, ShutdownNotice};
use crate::controller::AdmissionController;
use crate::policy::concurrency_limit::SAMPLE_INTERVAL;
use crate::policy::cost_estimator::base_cost;
use crate::policy::load::ANSWER_FRACTION;
use crate::request::{Drain, Phase, RequestRecord};
use cottondyke_types::{RequestId, Time};

impl AdmissionController {
    /// A request was read. A request for an unknown handler is ignored.
    pub fn arrival(&mut self, now: Time, arrival: Arrival) -> Actions {
        self.advance(now);
        let mut actions = Actions::default();
        let Some(handler) = self.priorities.handlers.get(arrival.handler.0).copied() else {
            return actions;
        };
        let request = RequestRecord::new(
            arrival,
            now,
            base_cost(&handler, arrival.cost_hint),
            &handler,
        );
        self.priorities.count_offered(now, &request);
        self.termination.losses.add_arrival(now);
        self.advisor.count_arrival(now, &arrival);
        let work = self.full_speed_work(now, &request);
        self.slow_start.add_offered(now, work);
        self.retain_key(now, &request, &mut actions);
        self.requests.insert(request);
        self.apply_rules(now, actions)
    }

    /// The run of a request ended.
    pub fn run_ended(&mut self, now: Time, id: RequestId, outcome: RunOutcome) -> Actions {
        self.advance(now);
        if let Some(request) = self.requests.remove(id) {
            if request.phase == Phase::Calling {
                self.calls.occupancy.add_abandoned(now);
            }
            let has_ended = matches!(outcome, RunOutcome::Completed | RunOutcome::Failed);
            if has_ended && request.is_unanswered_in(Phase::OnCore) {
                self.costs.learn_ended(now, &request);
                self.termination.record_run(now, &request);
            }
            if outcome == RunOutcome::Completed && !request.answered {
                self.priorities.count_completed(now, &request);
            }
        }
        self.apply_rules(now, Actions::default())
    }

    /// A run was cancelled while its request was unanswered: the request is queued again.
    pub fn run_cancelled(&mut self, now: Time, id: RequestId) -> Actions {
        self.advance(now);
        if let Some(request) = self.requests.get_mut(id).filter(|r| !r.answered) {
            if request.phase == Phase::Calling {
                self.calls.occupancy.add_abandoned(now);
            }
            request.queue_again(now);
        }
        self.apply_rules(now, Actions::default())
    }

    /// A run has not ended long after its request was answered. It no longer counts against the concurrency limit, so
    /// that other requests can run. It may still occupy the machine, so it counts towards the concurrency ceiling until
    /// its end is reported.
    pub fn run_overdue(&mut self, now: Time, id: RequestId) -> Actions {
        self.advance(now);
        if let Some(request) = self.requests.get_mut(id) {
            if request.phase == Phase::OnCore && request.answered {
                request.phase = Phase::Overdue;
            }
        }
        self.apply_rules(now, Actions::default())
    }

    /// A run requests a call to a dependency and waits until the call is made or skipped.
    pub fn call_requested(&mut self, now: Time, id: RequestId) -> Actions {
        self.advance(now);
        if let Some(request) = self.requests.get_mut(id) {
            request.want_call(now, self.costs.core_clock);
        }
        self.apply_rules(now, Actions::default())
    }

    /// The call of a run ended.
    pub fn call_ended(&mut self, now: Time, id: RequestId, outcome: CallOutcome) -> Actions {
        self.advance(now);
        let mut actions = Actions::default();
        if let Some(request) = self
            .requests
            .get_mut(id)
            .filter(|r| r.phase == Phase::Calling)
        {
            let call_time = request.end_call(now);
            self.calls.call_ended(now, call_time, outcome);
            self.continue_after_call(now, id, outcome, &mut actions);
        }
        self.apply_rules(now, actions)
    }

    /// The call of a run completed, but its result may have been lost on the way, so that the run may still wait for it.
    pub fn call_result_possibly_lost(&mut self, now: Time, id: RequestId) -> Actions {
        self.advance(now);
        let mut actions = Actions::default();
        self.continue_without_result(now, id, &mut actions);
        self.apply_rules(now, actions)
    }

    /// The caller no longer waits for the response to a request.
    pub fn request_abandoned(&mut self, now: Time, id: RequestId) -> Actions {
        self.advance(now);
        if let Some(request) = self.requests.get_mut(id) {
            request.answered = true;
        }
        self.requests.remove_answered_unstarted();
        self.apply_rules(now, Actions::default())
    }

    /// The server must shut down. The grace period and the time to answer count from the notice.
    pub fn drain(&mut self, now: Time, notice: ShutdownNotice) -> Actions {
        self.advance(now);
        let answer_within = notice.timeout.scaled(ANSWER_FRACTION) - self.schedule.resolution;
        self.drain = Some(Drain {
            started_at: notice.received_at,
            answer_by: notice.received_at + answer_within,
        });
        self.apply_rules(
            now,
            Actions {
                health: Some(false),
                ..Actions::default()
            },
        )
    }

    /// Time has passed. The first tick sets the answer to health checks to healthy, unless the server shuts down.
    /// `sample` is used when a load sample is due.
    pub fn tick(&mut self, now: Time, sample: LoadSample) -> Actions {
        self.advance(now);
        if let Some(delay) = self.schedule.record_tick(now) {
            self.answer_margin.record_delay(now, delay);
        }
        let becomes_healthy = self.schedule.is_first_tick() && self.drain.is_none();
        let health = becomes_healthy.then_some(true);
        let mut actions = Actions {
            health,
            ..Actions::default()
        };
        if now >= self.schedule.next_sample_at {
            self.sample_load(now, sample, &mut actions);
        }
        self.apply_rules(now, actions)
    }

    /// Answers the requests whose time is over, without waiting for the load sample of the next tick. To be called when
    /// a tick is due and its load sample is not there yet.
    pub fn answer_due(&mut self, now: Time) -> Actions {
        let is_due = |r: &RequestRecord| self.answer_by(now, r) <= now;
        if !self.requests.unanswered().any(is_due) {
            return Actions::default();
        }
        self.advance(now);
        self.apply_rules(now, Actions::default())
    }

    fn sample_load(&mut self, now: Time, sample: LoadSample, actions: &mut Actions) {
        let target = self.priorities.shortest_target;
        let interval = target.scaled(SAMPLE_INTERVAL).max(self.schedule.resolution);
        self.schedule.next_sample_at = now + interval;
        self.concurrency.adjust(now, sample, &self.requests, target);
        actions.idle_timeout = self.advisor.callers.update_idle_timeout(now);
        actions.cancel = self.repeated_cancellations();
    }

    /// Accounts for the time since the last input.
    fn advance(&mut self, now: Time) {
        let elapsed = (now - self.costs.advanced_at).as_f64();
        self.calls
            .occupancy
            .advance(now, self.requests.calling().count(), elapsed);
        self.costs
            .advance(now, self.concurrency.busy_cores(), &self.requests);
        self.slow_start.advance(now);
        self.dedup_keys.retain(|_, expires_at| *expires_at > now);
    }

    /// Evaluates the rules until none fires, then updates the load advice and schedules the next tick.
    fn apply_rules(&mut self, now: Time, mut actions: Actions) -> Actions {
        while let Some((firing, effect)) = self.next_firing(now) {
            effect(self, now, firing.id, &mut actions);
            actions.firings.push(firing);
        }
        actions.advice = self
            .advisor
            .advise(self.wanted_share(now), self.concurrency.limit);
        let answer_by = |r: &RequestRecord| self.answer_by(now, r);
        let earliest = self.requests.unanswered().map(answer_by).min();
        actions.next_tick = self.schedule.schedule(now, earliest);
        actions
    }
}

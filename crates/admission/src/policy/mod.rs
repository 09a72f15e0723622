//! The admission policy of one server: which requests it admits, in which order it starts them, which it
//! rejects, and what it advises its callers. After every input the rules in `AdmissionController::RULES` are
//! evaluated in order until none fires. docs/design.md describes what follows SERT, what departs from it, and
//! when each departure acts.
pub(crate) mod answer_margin;
pub(crate) mod call_limiter;
pub(crate) mod caller_tracker;
pub(crate) mod concurrency_limit;
pub(crate) mod cost_estimator;
pub(crate) mod effects;
pub(crate) mod load;
pub(crate) mod load_advisor;
pub(crate) mod priority_weights;
pub(crate) mod rules;
pub(crate) mod slow_start;
pub(crate) mod slow_start_rules;
pub(crate) mod termination_threshold;

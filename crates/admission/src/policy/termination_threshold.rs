//! When a run is terminated, after section 3.2 of the SERT paper.
use crate::{histograms::RunTimeHistogram, request::RequestRecord, windows::LossWindow};
use crate::{AdmissionConfig, Cancellation, Handler, Idempotency, Time};

const LOW_WATERMARK: f64 = 0.05; // loss up to which the threshold stays at its upper bound
const HIGH_WATERMARK: f64 = 0.15; // loss from which the threshold is at its lower bound
const ALPHA: f64 = 4.0; // exponent of the threshold's curve between the two watermarks
const LOWER_BOUND_QUANTILE: f64 = 0.99; // quantile of a handler's run times that is the lower bound
const RUN_TIME_WINDOW: f64 = 4.0; // window over which run times count, as a multiple of the client timeout
const MIN_LOWER_BOUND: f64 = 0.1; // smallest lower bound, as a fraction of the client timeout

/// SERT's termination threshold, between a learned lower bound and the client timeout.
pub(crate) struct TerminationThreshold {
    cancellation: Cancellation,
    pub(crate) losses: LossWindow,
    run_times: Vec<RunTimeHistogram>, // by handler
}

impl TerminationThreshold {
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let window = |h: &Handler| h.client_timeout.scaled(RUN_TIME_WINDOW);
        let histogram = |h: &Handler| RunTimeHistogram::new(h.client_timeout, window(h));
        let run_times = config.handlers.iter().map(histogram).collect();
        let losses = LossWindow::new(config.loss_window);
        TerminationThreshold { cancellation: config.cancellation, losses, run_times }
    }

    pub(crate) fn is_cancellable(&self, handler: &Handler) -> bool {
        self.cancellation != Cancellation::Never && handler.idempotency == Idempotency::Idempotent
    }

    /// Whether a cancelled run of the handler leaves nothing behind and may be run once more.
    pub(crate) fn may_run_again(&self, handler: &Handler) -> bool {
        self.cancellation == Cancellation::Drop && handler.idempotency == Idempotency::Idempotent
    }

    pub(crate) fn record_run(&mut self, now: Time, request: &RequestRecord) {
        self.run_times[request.handler_index()].record(now, now - request.started_at);
    }

    /// The run time past which `request` is terminated; `deadline` is when it must be answered.
    pub(crate) fn threshold(&self, now: Time, request: &RequestRecord, deadline: Time) -> Time {
        let run_times = &self.run_times[request.handler_index()];
        let lower_bound = run_times.quantile(now, LOWER_BOUND_QUANTILE, MIN_LOWER_BOUND);
        let upper_bound = deadline - request.started_at;
        termination_threshold(lower_bound.min(upper_bound), upper_bound, self.losses.loss(now))
    }
}

/// SERT, section 3.2: threshold = LB + F(p) x (UB - LB), where `loss` is the paper's p.
pub fn termination_threshold(lower_bound: Time, upper_bound: Time, loss: f64) -> Time {
    let relative = ((HIGH_WATERMARK - loss) / (HIGH_WATERMARK - LOW_WATERMARK)).clamp(0.0, 1.0);
    lower_bound + (upper_bound - lower_bound).scaled(relative.powf(ALPHA))
}

//! The value offered and earned recently, by handler and by tenant.

use crate::request::RequestRecord;
use crate::windows::{ValueSums, ValueWindow};
use cottondyke_types::Time;

/// The value offered and earned over a window, by handler and by tenant.
pub(crate) struct ValueLedger {
    /// The length of the window, in tenths of a millisecond.
    pub(crate) duration: f64,
    by_handler: Vec<ValueWindow>,
    by_tenant: Vec<ValueWindow>,
}

impl ValueLedger {
    pub(crate) fn new(window: Time, handlers: usize, tenants: usize) -> Self {
        ValueLedger {
            duration: ValueWindow::new(window).duration(),
            by_handler: vec![ValueWindow::new(window); handlers],
            by_tenant: vec![ValueWindow::new(window); tenants],
        }
    }

    pub(crate) fn add_offered(&mut self, now: Time, request: &RequestRecord, value: f64) {
        for window in self.windows(request) {
            window.add_offered(now, value);
        }
    }

    pub(crate) fn add_completed(&mut self, now: Time, request: &RequestRecord, value: f64) {
        for window in self.windows(request) {
            window.add_completed(now, value);
        }
    }

    fn windows(&mut self, request: &RequestRecord) -> impl Iterator<Item = &mut ValueWindow> {
        let tenant = request.arrival.tenant;
        let tenant_window = tenant.and_then(|tenant| self.by_tenant.get_mut(tenant.0));
        let handler_window = &mut self.by_handler[request.handler_index()];
        tenant_window.into_iter().chain([handler_window])
    }

    /// The sums of each handler, in the order of the handlers.
    pub(crate) fn by_handler(&self, now: Time) -> Vec<ValueSums> {
        self.by_handler.iter().map(|w| w.sums(now)).collect()
    }

    /// The sums of each tenant, in the order of the tenants.
    pub(crate) fn by_tenant(&self, now: Time) -> Vec<ValueSums> {
        self.by_tenant.iter().map(|w| w.sums(now)).collect()
    }
}

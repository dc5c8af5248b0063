//! Statistics of a stream, logged and measured when it ends.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::context::Context;

/// Statistics of one stream; logs them when it is dropped.
pub struct StreamRecord {
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    /// Identifier of the engine that produces the events, or address of the instance that forwards them.
    server: SmolStr,
    events: u64,
    started_at: Duration,
    last_event_at: Option<Duration>,
    longest_pause: Duration,
    /// How the stream ended. The initial value stands if a caller that disconnects drops the record
    /// before another outcome is set.
    outcome: SmolStr,
}

impl StreamRecord {
    /// Starts the record of a stream.
    pub fn start(cx: &Rc<Context>, req: &Rc<CallerRequest>) -> Self {
        Self {
            cx: cx.clone(),
            req: req.clone(),
            server: SmolStr::default(),
            events: 0,
            started_at: cx.now(),
            last_event_at: None,
            longest_pause: Duration::ZERO,
            outcome: SmolStr::new_static("caller disconnected"),
        }
    }

    /// Sets the engine that produces the events.
    pub fn set_server(&mut self, server: ServerKey) {
        self.server = self.cx.state.borrow().pool.id_of(server);
    }

    /// Sets the address of the instance that forwards the events.
    pub fn set_instance(&mut self, address: SmolStr) {
        self.server = address;
    }

    /// Counts complete events that have just been received, and updates the longest pause.
    pub fn record_events(&mut self, events: u64) {
        if events == 0 {
            return;
        }
        let now = self.cx.now();
        if let Some(previous) = self.last_event_at.replace(now) {
            let pause = now.saturating_sub(previous);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.events += events;
    }

    /// Sets how the stream ended, for the log.
    pub fn set_outcome(&mut self, outcome: impl Into<SmolStr>) {
        self.outcome = outcome.into();
    }
}

impl Drop for StreamRecord {
    fn drop(&mut self) {
        let ms = |time: Duration| time.as_millis() as u64;
        let took = self.cx.now().saturating_sub(self.started_at);
        let (customer, route) = (self.req.customer_name(), &self.req.route.name);
        self.cx
            .metrics
            .record_longest_pause(customer, route, self.longest_pause);
        self.cx.log(
            EventCode::StreamEnded,
            [
                ("request", self.req.headers.request_id.as_str().into()),
                ("server", self.server.as_str().into()),
                ("outcome", self.outcome.as_str().into()),
                ("events", self.events.into()),
                ("took_ms", ms(took).into()),
                ("longest_pause_ms", ms(self.longest_pause).into()),
            ],
        );
    }
}

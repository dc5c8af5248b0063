//! What is logged and measured of a stream when it ends.

use std::rc::Rc;
use std::time::Duration;

use jacinthlever_routing::ServerKey;
use smol_str::SmolStr;

use crate::EventCode;
use crate::caller_request::CallerRequest;
use crate::context::Context;

/// Follows a stream from its first event to its end; logs the end when it is dropped.
pub struct StreamRecord {
    cx: Rc<Context>,
    req: Rc<CallerRequest>,
    /// Engine that produces the events.
    server: SmolStr,
    events: u64,
    began: Duration,
    last_event: Option<Duration>,
    longest_pause: Duration,
    /// How it ended; a caller that leaves drops it before anything else is known.
    outcome: SmolStr,
}

impl StreamRecord {
    /// Begins to follow a stream.
    pub fn start(cx: &Rc<Context>, req: &Rc<CallerRequest>) -> Self {
        Self {
            cx: cx.clone(),
            req: req.clone(),
            server: SmolStr::default(),
            events: 0,
            began: cx.now(),
            last_event: None,
            longest_pause: Duration::ZERO,
            outcome: SmolStr::new_static("caller left"),
        }
    }

    /// Takes in which engine produces the events.
    pub fn set_server(&mut self, server: ServerKey) {
        self.server = self.cx.state.borrow().pool.id_of(server);
    }

    /// Takes in that whole events came.
    pub fn record_events(&mut self, events: u64) {
        if events == 0 {
            return;
        }
        let now = self.cx.now();
        if let Some(before) = self.last_event.replace(now) {
            let pause = now.saturating_sub(before);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.events += events;
    }

    /// Takes in that the stream is over.
    pub fn set_outcome(&mut self, outcome: impl Into<SmolStr>) {
        self.outcome = outcome.into();
    }
}

impl Drop for StreamRecord {
    fn drop(&mut self) {
        let ms = |time: Duration| time.as_millis() as u64;
        let took = self.cx.now().saturating_sub(self.began);
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

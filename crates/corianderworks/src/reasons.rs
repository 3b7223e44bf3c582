//! Reasons of refusals, as sent in the header field `cw-reason`.

use http::StatusCode;

macro_rules! reasons {
    ($($variant:ident, $name:literal, $status:ident, $outcome:ident, $doc:literal, $advice:literal;)*) => {
        /// Reason of a refusal. All are listed in `docs/operators/refusals.md`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Reason {
            $(#[doc = $doc] $variant,)*
        }

        impl Reason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the value of the header field `cw-reason`.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the HTTP status code that the caller receives.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$variant => StatusCode::$status,)* }
            }

            /// Returns whether a request refused for this reason may have run.
            pub fn outcome(self) -> RefusalOutcome {
                match self { $(Self::$variant => RefusalOutcome::$outcome,)* }
            }

            /// Returns the recommended action, as shown by `explain` and in the documentation.
            pub fn advice(self) -> &'static str {
                match self { $(Self::$variant => $advice,)* }
            }
        }
    };
}

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalOutcome {
    /// The request did not run, so the caller may safely repeat it.
    NotRun,
    /// The request may have run, so repeating it could run it twice.
    Unknown,
}

impl RefusalOutcome {
    /// Returns the value of the header field `cw-outcome`.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

reasons! {
    BadRequest, "bad-request", BAD_REQUEST, NotRun,
        "The header fields are malformed or do not determine where the body ends.",
        "The caller must correct its header fields.";
    BadDeadline, "bad-deadline", BAD_REQUEST, NotRun,
        "`cw-deadline-ms` is not a whole number of milliseconds.",
        "The caller must correct `cw-deadline-ms`.";
    NoCustomer, "no-customer", BAD_REQUEST, NotRun,
        "The request has no valid header field `cw-customer`.",
        "The caller must send `cw-customer`.";
    UnknownCustomer, "unknown-customer", FORBIDDEN, NotRun,
        "The customer is not in customers.json.",
        "Add the customer to customers.json, or correct the name at the caller.";
    NoRoute, "no-route", NOT_FOUND, NotRun,
        "No route matches the path.",
        "Compare the path with the routes in plans.json.";
    Method, "method", METHOD_NOT_ALLOWED, NotRun,
        "A route matches the path, but none allows the method.",
        "Compare the method with `methods` of the route in plans.json.";
    PlanForbids, "plan-forbids", FORBIDDEN, NotRun,
        "The customer's plan does not include the route.",
        "Add the route to the plan's `uses`, or move the customer to another plan.";
    Rate, "rate", TOO_MANY_REQUESTS, NotRun,
        "The customer exceeds the request rate of its plan.",
        "Nothing, or raise `rate_per_s` of the plan if capacity allows.";
    Concurrency, "concurrency", TOO_MANY_REQUESTS, NotRun,
        "The customer has too many requests in flight for its plan.",
        "Nothing, or raise `concurrency` of the plan; check whether the service is slow.";
    QueueFull, "queue-full", SERVICE_UNAVAILABLE, NotRun,
        "The queue of the service is full.",
        "The service is overloaded: see `status` for slots in use and ejected upstreams.";
    Deadline, "deadline", GATEWAY_TIMEOUT, NotRun,
        "The deadline has passed or cannot be met.",
        "Check the latency of the service and `timeout_ms` of the route.";
    Shed, "shed", SERVICE_UNAVAILABLE, NotRun,
        "Load is shed in favour of plans with a higher priority.",
        "The service is at its floor: repair or add backend servers.";
    BackendShed, "backend-shed", SERVICE_UNAVAILABLE, NotRun,
        "The backend server refused the request before running it.",
        "Check the load of the backend servers.";
    NoUpstream, "no-upstream", SERVICE_UNAVAILABLE, NotRun,
        "No backend server or home daemon of the service can be reached.",
        "Check the VM list and the partition between domains in `status`.";
    BackendFailed, "backend-failed", BAD_GATEWAY, Unknown,
        "The backend server failed after the request was sent to it.",
        "Look at the upstream's state in `status`; the caller asks for the key's state.";
    BackendTimeout, "backend-timeout", GATEWAY_TIMEOUT, Unknown,
        "The backend server did not respond in time.",
        "Look at the upstream's state in `status`; the caller asks for the key's state.";
    RelayLost, "relay-lost", BAD_GATEWAY, Unknown,
        "The daemon that handled the request was lost, or cannot be reached.",
        "Nothing if a VM failed; the caller asks for the key's state.";
    KeyLost, "key-lost", CONFLICT, Unknown,
        "The daemon run that issued the key has ended.",
        "The caller must find out at the service whether the request ran.";
    KeyRunning, "key-running", CONFLICT, Unknown,
        "A request with the same key is still running.",
        "The caller repeats the request later, with the same key.";
    KeyInvalid, "key-invalid", BAD_REQUEST, NotRun,
        "The key is malformed or expired.",
        "The caller must ask for a new key prefix.";
    KeyConflict, "key-conflict", CONFLICT, NotRun,
        "The key was used for another request.",
        "The caller must use a key of its own for each request.";
    KeyNotRun, "key-not-run", SERVICE_UNAVAILABLE, NotRun,
        "An earlier request with the key was refused, so no request with the key will run.",
        "The caller repeats the request with a new key.";
    ClaimBudget, "claim-budget", SERVICE_UNAVAILABLE, NotRun,
        "The write budget for keys that callers chose themselves is used up.",
        "Callers should use issued key prefixes; these need no write.";
    PlatformDown, "platform-down", SERVICE_UNAVAILABLE, NotRun,
        "A key that the caller chose itself needs a write to the platform, which is down.",
        "Callers should use issued key prefixes; report the outage of the platform.";
    NotReady, "not-ready", SERVICE_UNAVAILABLE, NotRun,
        "The daemon has no configuration yet.",
        "Check that the daemon reaches a seed or the platform.";
    Draining, "draining", SERVICE_UNAVAILABLE, NotRun,
        "The daemon is shutting down.",
        "Nothing; callers use the next address of their address response.";
    SlowBody, "slow-body", REQUEST_TIMEOUT, Unknown,
        "The caller paused for too long while sending the body.",
        "Nothing, or raise `body_pause_ms` in the settings for slow callers.";
    TooLarge, "too-large", PAYLOAD_TOO_LARGE, NotRun,
        "The header fields or the body exceed a limit.",
        "Raise `limits` in the settings if the request is legitimate.";
    DaemonFull, "daemon-full", SERVICE_UNAVAILABLE, NotRun,
        "The daemon's table of customers or keys is full.",
        "Nothing if it passes; otherwise find the customer with the most requests or keys.";
}

impl Reason {
    /// Returns the reason with this name; `None` for a name that this version does not know.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|r| r.name() == name)
    }
}

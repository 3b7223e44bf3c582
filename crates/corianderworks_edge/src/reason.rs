//! Why a request ended as it did. Logs, metrics and response bodies use the same names.

use serde::Serialize;

/// End of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The response of a backend server was delivered.
    Served,
    /// The failure response of a backend server was delivered.
    ServerFailed,
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The service has no backend server that accepts requests.
    NoServer,
    /// The request can't finish in the time left.
    NoCapacity,
    /// Backend servers refused the request as full.
    ServersFull,
    /// No backend server could be connected.
    Unreachable,
    /// The daemon is stopping.
    Stopping,
    /// The daemon holds too many request bytes.
    BodyMemory,
    /// The request was sent, and its response is missing or unusable.
    NoResponse,
    /// The deadline or the route's timeout passed while a backend server worked.
    TimedOut,
    /// The request is malformed.
    Malformed,
    /// The request head is too large.
    HeadTooLarge,
    /// The request body is too large.
    BodyTooLarge,
    /// The request did not arrive in time.
    SlowRequest,
    /// The caller closed its connection.
    CallerLeft,
}

impl Reason {
    /// Name in logs, metrics and response bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::ServerFailed => "server-failed",
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::NoServer => "no-server",
            Self::NoCapacity => "no-capacity",
            Self::ServersFull => "servers-full",
            Self::Unreachable => "unreachable",
            Self::Stopping => "stopping",
            Self::BodyMemory => "body-memory",
            Self::NoResponse => "no-response",
            Self::TimedOut => "timed-out",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::SlowRequest => "slow-request",
            Self::CallerLeft => "caller-left",
        }
    }

    /// Status of a response of the daemon's own. 429, 503 and 408 promise that the request
    /// did not run; 502 and 504 promise nothing.
    pub fn status(self) -> (u16, &'static str) {
        match self {
            Self::Served | Self::ServerFailed | Self::NoResponse | Self::CallerLeft => {
                (502, "Bad Gateway")
            }
            Self::NoRoute => (404, "Not Found"),
            Self::NoConfiguration
            | Self::NoServer
            | Self::NoCapacity
            | Self::ServersFull
            | Self::Unreachable
            | Self::Stopping
            | Self::BodyMemory => (503, "Service Unavailable"),
            Self::TimedOut => (504, "Gateway Timeout"),
            Self::Malformed => (400, "Bad Request"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
            Self::BodyTooLarge => (413, "Content Too Large"),
            Self::SlowRequest => (408, "Request Timeout"),
        }
    }
}

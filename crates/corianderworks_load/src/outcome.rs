//! Results of tries and the decision what a caller does next.

use serde::{Deserialize, Serialize};

use crate::check::Violation;

/// Result of one try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Try {
    /// Checked response with a success status.
    Answered,
    /// The recorded success of an earlier try with the same key.
    Replayed,
    /// Success whose response fails its check.
    Wrong(Violation),
    /// Any other status without outcome.
    Status(u16),
    /// Refused with `not-run`.
    NotRun {
        /// Status of the refusal.
        status: u16,
    },
    /// Refused with `unknown`, or the key is still running.
    Unknown,
    /// No connection, so nothing was sent.
    NotConnected,
    /// The connection failed or the response broke off after sending.
    Broken,
    /// No complete response in time.
    TimedOut,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Complete response to the request itself.
    Answered,
    /// Every try that reached a daemon was refused with `not-run`.
    NotRun,
    /// Some try may have run and none was answered.
    Unknown,
    /// Answered with an error status.
    ErrorStatus,
    /// Nothing was sent: no address or no connection in time.
    Unsent,
    /// Answered with a response that fails its check.
    Wrong,
}

/// What the caller does after a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The request has ended.
    End(Outcome),
    /// Sends again, at another address if there is one.
    Again,
}

/// Tries of one request so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tries {
    /// Whether an earlier try may have run.
    pub may_have_run: bool,
    refused: bool,
}

/// Status of a refusal that another address cannot help with.
const OVER_THE_PLAN: u16 = 429;

impl Tries {
    /// Decides after a try. `can_repeat` is whether a request that may have run
    /// may be sent again; `left` whether tries and time are left.
    pub fn next(&mut self, result: &Try, can_repeat: bool, left: bool) -> Next {
        match result {
            Try::Answered | Try::Replayed => return Next::End(Outcome::Answered),
            Try::Wrong(_) => return Next::End(Outcome::Wrong),
            Try::Status(_) => return Next::End(Outcome::ErrorStatus),
            Try::NotRun { status } => {
                self.refused = true;
                if *status == OVER_THE_PLAN {
                    return Next::End(self.give_up());
                }
            }
            Try::NotConnected => {}
            Try::Unknown | Try::Broken | Try::TimedOut => self.may_have_run = true,
        }
        if left && (can_repeat || !self.may_have_run) {
            Next::Again
        } else {
            Next::End(self.give_up())
        }
    }

    /// Outcome if no further try is made.
    pub fn give_up(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else if self.refused {
            Outcome::NotRun
        } else {
            Outcome::Unsent
        }
    }
}

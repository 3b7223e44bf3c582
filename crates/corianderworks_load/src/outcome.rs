//! Results of attempts and the decision whether to retry.

use serde::{Deserialize, Serialize};

use crate::check::Violation;

/// Result of one attempt to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// Response with a success status that passed all checks.
    Answered,
    /// Recorded success of an earlier attempt with the same key.
    Replayed,
    /// Response with a success status that failed a check.
    Wrong(Violation),
    /// Response with an error status that is not a refusal.
    Status(u16),
    /// Refused with `not-run`: the request was not executed.
    NotRun {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// Refused with `unknown`, or with `running` because the key is still in use.
    Unknown,
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The connection was lost after sending, before the response was complete.
    ConnectionLost,
    /// The response was not complete when the attempt timed out.
    TimedOut,
}

/// Final outcome of a request as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete, valid response or the recorded success of an earlier attempt.
    Answered,
    /// At least one attempt was refused with `not-run`, and none may have run.
    NotRun,
    /// An attempt may have run, but none was answered.
    Unknown,
    /// The response had an error status and was not a refusal.
    ErrorStatus,
    /// Nothing was sent because no address or connection was available in time.
    Unsent,
    /// The response had a success status but failed a check.
    Wrong,
}

/// Decision after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The request ends with this outcome.
    End(Outcome),
    /// The request is sent again, to another address if there is one.
    Retry,
}

/// What the attempts of one request so far have established.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryState {
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    refused: bool,
}

/// HTTP status of a refusal because the customer exceeded its plan; a retry at another address
/// would not help.
const TOO_MANY_REQUESTS: u16 = 429;

impl RetryState {
    /// Records the result of an attempt and decides whether to retry. `safe_to_retry` is whether
    /// the request may be sent again after it may have run; `attempts_left` whether the limits on
    /// attempts and time permit another one.
    pub fn next_step(
        &mut self,
        result: &AttemptResult,
        safe_to_retry: bool,
        attempts_left: bool,
    ) -> NextStep {
        match result {
            AttemptResult::Answered | AttemptResult::Replayed => {
                return NextStep::End(Outcome::Answered);
            }
            AttemptResult::Wrong(_) => return NextStep::End(Outcome::Wrong),
            AttemptResult::Status(_) => return NextStep::End(Outcome::ErrorStatus),
            AttemptResult::NotRun { status } => {
                self.refused = true;
                if *status == TOO_MANY_REQUESTS {
                    return NextStep::End(self.final_outcome());
                }
            }
            AttemptResult::NotConnected => {}
            AttemptResult::Unknown | AttemptResult::ConnectionLost | AttemptResult::TimedOut => {
                self.may_have_run = true
            }
        }
        if attempts_left && (safe_to_retry || !self.may_have_run) {
            NextStep::Retry
        } else {
            NextStep::End(self.final_outcome())
        }
    }

    /// Outcome of the request if no further attempt is made.
    pub fn final_outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else if self.refused {
            Outcome::NotRun
        } else {
            Outcome::Unsent
        }
    }
}

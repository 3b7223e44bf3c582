//! Callers that ask for addresses and send requests.

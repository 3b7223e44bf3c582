//! Judgement of upstreams from the results of real requests.

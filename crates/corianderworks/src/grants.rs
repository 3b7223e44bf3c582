//! Allowance of customers at an entry and at their limit homes.

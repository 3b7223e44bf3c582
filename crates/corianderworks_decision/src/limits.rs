//! Request allowance of customers, shared over the fleet.

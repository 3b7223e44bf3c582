//! Scripted faults of the stand-ins.

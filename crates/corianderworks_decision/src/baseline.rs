//! Baseline for measurements: each daemon alone, round robin, consecutive-error ejection.

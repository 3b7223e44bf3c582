//! Limits on the memory that bodies take, as a share of the VM's memory. The platform kills a
//! process that exceeds the latter.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory for bodies of one direction.
#[derive(Debug)]
pub struct BodyMemory {
    used_bytes: AtomicUsize,
    limit_bytes: usize,
}

impl BodyMemory {
    /// Creates a limit on the total size of the bodies.
    pub fn with_limit(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            used_bytes: AtomicUsize::new(0),
            limit_bytes,
        })
    }

    /// Reserves memory until the guard is dropped. Returns `None` if the bodies would exceed the
    /// limit.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<BodyMemoryGuard> {
        let mut guard = self.empty_guard();
        guard.try_grow(bytes).then_some(guard)
    }

    /// Returns a guard of a body of which nothing was received yet.
    pub fn empty_guard(self: &Arc<Self>) -> BodyMemoryGuard {
        BodyMemoryGuard {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Memory reserved for a body. Dropping the guard releases it.
#[derive(Debug)]
pub struct BodyMemoryGuard {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl BodyMemoryGuard {
    /// Reserves more memory for the same body. Returns whether it is available.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let BodyMemory {
            used_bytes,
            limit_bytes,
        } = &*self.memory;
        let used = used_bytes.fetch_add(bytes, Ordering::Relaxed);
        if used.saturating_add(bytes) > *limit_bytes {
            used_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyMemoryGuard {
    fn drop(&mut self) {
        self.memory
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

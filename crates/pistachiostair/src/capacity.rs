//! Resources of a daemon, by which candidates for the scheduler's lease are compared.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bandwidth that a scheduler needs for each core that it uses, in kilobits per second.
const LINK_KBPS_PER_CORE: u64 = 100_000;

/// Memory that a scheduler needs for each core that it uses, in megabytes.
const MEMORY_MB_PER_CORE: u64 = 512;

/// A daemon is much stronger than another one from this ratio of their scores on.
const MUCH_STRONGER_RATIO: u64 = 2;

/// Resources that a daemon may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Capacity {
    /// Processor time, in thousandths of a core.
    pub millicores: u64,
    /// Bandwidth of its link, in kilobits per second.
    pub link_kbps: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

impl Capacity {
    /// The scarcest resource, expressed as the processor time in thousandths of a core that it suffices for.
    pub fn score(&self) -> u64 {
        let link = self.link_kbps.saturating_mul(1_000) / LINK_KBPS_PER_CORE;
        let memory = self.memory_mb.saturating_mul(1_000) / MEMORY_MB_PER_CORE;
        self.millicores.min(link).min(memory)
    }

    /// Whether this daemon has a higher score than the other.
    pub fn is_stronger(&self, other: &Self) -> bool {
        self.score() > other.score()
    }

    /// Whether this daemon is so much stronger that it should replace the other as the scheduler.
    pub fn is_much_stronger(&self, other: &Self) -> bool {
        self.is_stronger(other) && self.score() >= other.score().saturating_mul(MUCH_STRONGER_RATIO)
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            millicores,
            link_kbps,
            memory_mb,
        } = self;
        write!(f, "{millicores} millicores, {link_kbps} kbit/s, {memory_mb} MB")
    }
}

//! Resources of a daemon, by which candidates for the scheduler's lease are compared.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bandwidth that a scheduler needs for each core that it uses, in kilobits per second.
const LINK_KBPS_PER_CORE: u64 = 100_000;

/// Memory that a scheduler needs for each core that it uses, in megabytes.
const MEMORY_MB_PER_CORE: u64 = 512;

/// Part of the daemon's processor time that hold orders may take, and of its link, in percent. The link also carries
/// renewals of the lease, which must not wait.
const HOLD_PROCESSOR_PERCENT: u64 = 75;
const HOLD_LINK_PERCENT: u64 = 40;

/// Processor time that a hold order and its answer take, in microseconds of a core, and their bytes, with the headers of
/// all layers.
const HOLD_MICROS: u64 = 320;
const HOLD_BYTES: u64 = 1_000;

/// Time within which the orders in progress must fit through the link, well below the time after which an order counts
/// as not answered.
const ORDER_TRANSFER_MS: u64 = 200;

/// Bytes of an order to start or stop a run and of its answer, with the headers of all layers and a connection.
const ORDER_BYTES: u64 = 1_200;

/// Bounds of the number of orders in progress; each takes a descriptor and about 27 KB of memory.
const MIN_ORDERS: u64 = 16;
const MAX_ORDERS: u64 = 512;

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

    /// Most hold orders a second that the daemon should send only to learn of progress.
    pub fn hold_rate(&self) -> u64 {
        let by_processor = self.millicores.saturating_mul(10 * HOLD_PROCESSOR_PERCENT) / HOLD_MICROS;
        let by_link = self.link_kbps.saturating_mul(10 * HOLD_LINK_PERCENT) / 8 / HOLD_BYTES;
        by_processor.min(by_link).max(1)
    }

    /// Most orders to start or stop runs that may be in progress at once.
    pub fn max_orders(&self) -> usize {
        let bytes = self.link_kbps.saturating_mul(ORDER_TRANSFER_MS) / 8;
        (bytes / ORDER_BYTES).clamp(MIN_ORDERS, MAX_ORDERS) as usize
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

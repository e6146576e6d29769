//! Memory and descriptors of a daemon, as the kernel reports them.

use std::net::SocketAddr;

/// What a process holds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Resident memory, in bytes.
    pub(crate) resident: u64,
    /// Bytes that its listening port has received and nobody has read.
    pub(crate) unread: u64,
    /// Open descriptors.
    pub(crate) files: usize,
}

impl Usage {
    /// Usage of a process now; none if it has ended.
    pub(crate) fn read(id: u32, address: SocketAddr) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(Self {
            resident: kib * 1024,
            unread: unread(address),
            files: std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count(),
        })
    }

    /// Memory that counts: the process's own, and the kernel's for it.
    pub(crate) fn memory(self) -> u64 {
        self.resident + self.unread
    }

    pub(crate) fn max(self, other: Self) -> Self {
        let larger = if other.memory() > self.memory() { other } else { self };
        Self {
            files: self.files.max(other.files),
            ..larger
        }
    }
}

/// Bytes in the receive queues of the connections at `address`.
fn unread(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else { return 0 };
    let local = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(address.ip().octets()),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queue = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let own = fields.next()? == local;
        // The receive queue of a listening socket (state 0A) is a number of connections.
        let open = fields.nth(1)? != "0A";
        let (_, received) = fields.next()?.split_once(':')?;
        u64::from_str_radix(received, 16).ok().filter(|_| own && open)
    };
    table.lines().filter_map(queue).sum()
}

//! Accounts for the memory that bodies and answers occupy, and selects what is shed when it is short.

use std::collections::BTreeMap;
use std::time::Duration;

/// Size up to which what is held may use the reserved part of the capacity, in bytes: a body of 64 KiB, 32 KiB
/// for what its request needs besides, and 16 KiB since a body of unknown length ends within a segment.
pub const SMALL_BYTES: usize = 112 * 1024;

/// Part of the capacity that is reserved for small holdings, so that ordinary requests are served while
/// large bodies use up the rest.
const RESERVED_PART: usize = 8;

/// Bytes that have to move before a holding counts as making progress. A client that sends single bytes
/// would otherwise never count as stalled.
const PROGRESS_BYTES: usize = 1024;

/// Time without progress after which a body being received counts as stalled; longer than the round trip
/// and a retransmission on usual links.
const BODY_STALL: Duration = Duration::from_millis(300);

/// Time without progress after which an answer being sent counts as stalled. Shedding it breaks an answer
/// off, so it takes longer than for a body, whose request can be refused.
const ANSWER_STALL: Duration = Duration::from_secs(1);

/// Identifies a holding. Higher numbers were opened later.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HoldingId(u64);

/// What the bytes of a holding are used for, which decides whether it may be shed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldingUse {
    /// The body of a request is being received. Nothing has run, so it may be refused.
    Receiving,
    /// A request is being processed, or the answer of a server is being received.
    Processing,
    /// An answer waits for a caller to read it.
    Sending,
}

/// The memory is short, and nothing else can be shed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryShortage;

#[derive(Clone, Copy, Debug)]
struct Holding {
    bytes: usize,
    /// Final size, if it is known.
    announced: Option<usize>,
    usage: HoldingUse,
    /// Time of the last progress.
    moved_at: Duration,
    /// Bytes that have moved since then.
    moved: usize,
}

impl Holding {
    /// Whether it is, or will be, too large for the reserved part.
    fn is_large(&self) -> bool {
        self.bytes.max(self.announced.unwrap_or(0)) > SMALL_BYTES
    }

    /// Whether it is known to stay small.
    fn stays_small(&self) -> bool {
        !self.is_large() && self.announced.is_some()
    }

    /// Returns the bytes that may not use the reserved part.
    fn unreserved_bytes(&self) -> usize {
        if self.is_large() { self.bytes } else { 0 }
    }

    fn is_stalled(&self, now: Duration) -> bool {
        let stall = match self.usage {
            HoldingUse::Receiving => BODY_STALL,
            HoldingUse::Processing => return false,
            HoldingUse::Sending => ANSWER_STALL,
        };
        now >= self.moved_at + stall
    }
}

/// Account of the memory of one instance.
#[derive(Debug, Default)]
pub struct MemoryLedger {
    capacity: usize,
    held: usize,
    /// Part of `held` that belongs to holdings of more than [`SMALL_BYTES`].
    held_by_large: usize,
    holdings: BTreeMap<HoldingId, Holding>,
    next: u64,
}

impl MemoryLedger {
    /// Sets the capacity in bytes. What is held already stays, also if it is more.
    pub fn set_capacity(&mut self, bytes: usize) {
        self.capacity = bytes;
    }

    /// Returns the capacity in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Opens a holding without bytes. `announced` is its final size, if that is known.
    pub fn open(
        &mut self,
        now: Duration,
        usage: HoldingUse,
        announced: Option<usize>,
    ) -> HoldingId {
        let id = HoldingId(self.next);
        self.next += 1;
        let holding = Holding {
            bytes: 0,
            announced,
            usage,
            moved_at: now,
            moved: 0,
        };
        self.holdings.insert(id, holding);
        id
    }

    /// Adds bytes to a holding before they are allocated. Returns the holdings that were shed for it, whose
    /// memory has to be freed first, and whether the bytes were added.
    ///
    /// They are not if there is too little memory even after all were shed that may be shed for this
    /// holding, or if it was shed itself. It then keeps what it has.
    pub fn grow(
        &mut self,
        now: Duration,
        id: HoldingId,
        bytes: usize,
    ) -> (Vec<HoldingId>, Result<(), MemoryShortage>) {
        let mut shed = Vec::new();
        let Some(before) = self.holdings.get(&id).copied() else {
            return (shed, Err(MemoryShortage));
        };
        let after = Holding {
            bytes: before.bytes + bytes,
            ..before
        };
        loop {
            let fits = self.held + bytes <= self.capacity;
            let others = self.held_by_large - before.unreserved_bytes();
            let unreserved = self.capacity - self.capacity / RESERVED_PART;
            if fits && others + after.unreserved_bytes() <= unreserved {
                break;
            }
            // To shed small holdings would not help if only the part of the large ones is used up.
            let Some(victim) = self.victim(now, id, &after, !fits) else {
                return (shed, Err(MemoryShortage));
            };
            self.release(victim);
            shed.push(victim);
        }
        self.holdings.insert(id, after);
        self.held += bytes;
        self.held_by_large -= before.unreserved_bytes();
        self.held_by_large += after.unreserved_bytes();
        (shed, Ok(()))
    }

    /// Records that bytes of a holding were received or sent.
    pub fn record_progress(&mut self, now: Duration, id: HoldingId, bytes: usize) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.moved += bytes;
            if holding.moved >= PROGRESS_BYTES {
                holding.moved = 0;
                holding.moved_at = now;
            }
        }
    }

    /// Changes what a holding is used for.
    pub fn set_use(&mut self, now: Duration, id: HoldingId, usage: HoldingUse) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.usage = usage;
            holding.moved_at = now;
        }
    }

    /// Closes a holding and gives back its bytes. One that was shed already is ignored.
    pub fn release(&mut self, id: HoldingId) {
        if let Some(holding) = self.holdings.remove(&id) {
            self.held -= holding.bytes;
            self.held_by_large -= holding.unreserved_bytes();
        }
    }

    /// Selects what is shed so that a holding can grow to what it is `after`: what has been stalled for
    /// longest, or else the newest body, unless that is the holding itself. A body that stays small goes
    /// before others.
    fn victim(
        &self,
        now: Duration,
        id: HoldingId,
        after: &Holding,
        may_be_small: bool,
    ) -> Option<HoldingId> {
        let stalled = self
            .holdings
            .iter()
            .filter(|(other, h)| **other != id && h.bytes > 0 && h.is_stalled(now))
            .filter(|(_, h)| may_be_small || h.is_large())
            .min_by_key(|(other, h)| (h.moved_at, std::cmp::Reverse(**other)));
        if let Some((other, _)) = stalled {
            return Some(*other);
        }
        let newest = self.holdings.iter().rev().find(|(other, h)| {
            let h = if **other == id { after } else { *h };
            let gives_way = h.is_large() || (after.stays_small() && !h.stays_small());
            h.usage == HoldingUse::Receiving && h.bytes > 0 && gives_way
        });
        newest.map(|(other, _)| *other).filter(|other| *other != id)
    }
}

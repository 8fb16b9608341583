//! Bounded queue that is fair between asking processes and between the queries
//! of each.

use std::collections::VecDeque;

use chervil_base::value;

use crate::types::WorkKey;

value! {
    /// Who queued an item.
    #[derive(Copy, Eq)]
    pub struct Flow {
        /// Asking process.
        pub source: u64,
        /// Query of that process.
        pub query: u64,
    }

    /// Result of adding an item.
    #[derive(Copy, Eq)]
    pub enum PushResult {
        /// There was room.
        Added,
        /// This item of a longer lane made room.
        Evicted(WorkKey),
        /// There was no room.
        Full,
    }
}

#[derive(Clone, Debug)]
struct Query {
    query: u64,
    items: VecDeque<WorkKey>,
}

#[derive(Clone, Debug)]
struct Source {
    source: u64,
    len: usize,
    queries: VecDeque<Query>,
}

/// Queue of one backend server.
#[derive(Clone, Debug)]
pub struct FairQueue {
    capacity: usize,
    len: usize,
    sources: VecDeque<Source>,
}

impl FairQueue {
    /// An empty queue for `capacity` items.
    pub fn new(capacity: usize) -> FairQueue {
        FairQueue { capacity, len: 0, sources: VecDeque::new() }
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no room for another item.
    pub fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item. A full queue evicts the newest item of the process with
    /// the most items when the adding process has at least two fewer.
    pub fn push(&mut self, lane: Flow, work: WorkKey) -> PushResult {
        let mut result = PushResult::Added;
        if self.is_full() {
            let own = self.sources.iter().find(|s| s.source == lane.source).map_or(0, |s| s.len);
            let longest = self.sources.iter().max_by_key(|s| s.len);
            let Some(longest) = longest.filter(|s| s.len >= own + 2).map(|s| s.source) else {
                return PushResult::Full;
            };
            let Some(evicted) = self.evict(longest) else {
                return PushResult::Full;
            };
            result = PushResult::Evicted(evicted);
        }
        self.add(lane, work);
        result
    }

    /// Puts an item in front of all others; it has been popped before.
    pub fn push_front(&mut self, lane: Flow, work: WorkKey) {
        let query = Query { query: lane.query, items: VecDeque::from([work]) };
        let mut source = self.take(lane.source);
        source.queries.push_front(query);
        source.len += 1;
        self.sources.push_front(source);
        self.len += 1;
    }

    /// Next item.
    pub fn peek(&self) -> Option<WorkKey> {
        self.sources.front()?.queries.front()?.items.front().copied()
    }

    /// Removes the next item and moves its process and query to the end.
    pub fn pop(&mut self) -> Option<WorkKey> {
        let mut source = self.sources.pop_front()?;
        let mut query = source.queries.pop_front()?;
        let work = query.items.pop_front()?;
        source.len -= 1;
        self.len -= 1;
        if !query.items.is_empty() {
            source.queries.push_back(query);
        }
        if !source.queries.is_empty() {
            self.sources.push_back(source);
        }
        Some(work)
    }

    /// Removes an item wherever it is.
    pub fn remove(&mut self, lane: Flow, work: WorkKey) {
        let Some(source) = self.sources.iter_mut().find(|s| s.source == lane.source) else {
            return;
        };
        for query in source.queries.iter_mut().filter(|q| q.query == lane.query) {
            let before = query.items.len();
            query.items.retain(|w| *w != work);
            let removed = before - query.items.len();
            source.len -= removed;
            self.len -= removed;
        }
        self.sweep();
    }

    /// All items.
    pub fn iter(&self) -> impl Iterator<Item = WorkKey> + '_ {
        let queries = self.sources.iter().flat_map(|s| &s.queries);
        queries.flat_map(|q| q.items.iter().copied())
    }

    fn add(&mut self, lane: Flow, work: WorkKey) {
        self.len += 1;
        let found = self.sources.iter().position(|s| s.source == lane.source);
        let at = found.unwrap_or_else(|| {
            let new = Source { source: lane.source, len: 0, queries: VecDeque::new() };
            self.sources.push_back(new);
            self.sources.len() - 1
        });
        let source = &mut self.sources[at];
        source.len += 1;
        match source.queries.iter_mut().find(|q| q.query == lane.query) {
            Some(query) => query.items.push_back(work),
            None => {
                let items = VecDeque::from([work]);
                source.queries.push_back(Query { query: lane.query, items });
            }
        }
    }

    fn take(&mut self, source: u64) -> Source {
        let at = self.sources.iter().position(|s| s.source == source);
        at.and_then(|i| self.sources.remove(i)).unwrap_or(Source {
            source,
            len: 0,
            queries: VecDeque::new(),
        })
    }

    fn evict(&mut self, source: u64) -> Option<WorkKey> {
        let source = self.sources.iter_mut().find(|s| s.source == source)?;
        let query = source.queries.iter_mut().max_by_key(|q| q.items.len())?;
        let work = query.items.pop_back()?;
        source.len -= 1;
        self.len -= 1;
        self.sweep();
        Some(work)
    }

    fn sweep(&mut self) {
        for source in &mut self.sources {
            source.queries.retain(|q| !q.items.is_empty());
        }
        self.sources.retain(|s| !s.queries.is_empty());
    }
}

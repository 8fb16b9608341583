//! Bounded queue with two-level round-robin: sources take turns, and so do the
//! queries of each source.

use std::collections::VecDeque;

use chervil_base::value;

use crate::types::WorkKey;

value! {
    /// Unit of fairness: one query of one source.
    #[derive(Copy, Eq)]
    pub struct Flow {
        /// Requesting process.
        pub source: u64,
        /// Query of that source.
        pub query: u64,
    }

    /// Result of adding an item.
    #[derive(Copy, Eq)]
    pub enum PushResult {
        /// The item was added without evicting another.
        Added,
        /// The item was added in place of this one, which belongs to a source with
        /// more items.
        Evicted(WorkKey),
        /// The queue is full, and the item was not added.
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

/// Queue of the items that wait for one backend server.
#[derive(Clone, Debug)]
pub struct FairQueue {
    capacity: usize,
    len: usize,
    sources: VecDeque<Source>,
}

impl FairQueue {
    /// Creates an empty queue for at most `capacity` items.
    pub fn new(capacity: usize) -> FairQueue {
        FairQueue { capacity, len: 0, sources: VecDeque::new() }
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue holds `capacity` items or more; [`FairQueue::push_front`]
    /// does not enforce the capacity.
    pub fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// Whether the queue holds no items.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends an item to its query. If the queue is full and some source has at least
    /// two items more than the source of the new item, the source with the most items
    /// loses the last item of its longest query.
    pub fn push(&mut self, flow: Flow, work: WorkKey) -> PushResult {
        let mut result = PushResult::Added;
        if self.is_full() {
            let own = self.sources.iter().find(|s| s.source == flow.source).map_or(0, |s| s.len);
            let longest = self.sources.iter().max_by_key(|s| s.len);
            let Some(longest) = longest.filter(|s| s.len >= own + 2).map(|s| s.source) else {
                return PushResult::Full;
            };
            let Some(evicted) = self.evict_from(longest) else {
                return PushResult::Full;
            };
            result = PushResult::Evicted(evicted);
        }
        self.append(flow, work);
        result
    }

    /// Puts an item that was popped earlier back in front of all others.
    pub fn push_front(&mut self, flow: Flow, work: WorkKey) {
        let query = Query { query: flow.query, items: VecDeque::from([work]) };
        let mut source = self.take_source(flow.source);
        source.queries.push_front(query);
        source.len += 1;
        self.sources.push_front(source);
        self.len += 1;
    }

    /// Returns the item that [`FairQueue::pop`] would remove.
    pub fn peek(&self) -> Option<WorkKey> {
        self.sources.front()?.queries.front()?.items.front().copied()
    }

    /// Removes the next item and moves its source and query behind the others.
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

    /// Removes an item at any position; does nothing if the queue does not hold it.
    pub fn remove(&mut self, flow: Flow, work: WorkKey) {
        let Some(source) = self.sources.iter_mut().find(|s| s.source == flow.source) else {
            return;
        };
        for query in source.queries.iter_mut().filter(|q| q.query == flow.query) {
            let before = query.items.len();
            query.items.retain(|w| *w != work);
            let removed = before - query.items.len();
            source.len -= removed;
            self.len -= removed;
        }
        self.remove_empty();
    }

    /// Items in the current order of sources and queries, which is not the order
    /// in which [`FairQueue::pop`] returns them.
    pub fn iter(&self) -> impl Iterator<Item = WorkKey> + '_ {
        let queries = self.sources.iter().flat_map(|s| &s.queries);
        queries.flat_map(|q| q.items.iter().copied())
    }

    fn append(&mut self, flow: Flow, work: WorkKey) {
        self.len += 1;
        let found = self.sources.iter().position(|s| s.source == flow.source);
        let at = found.unwrap_or_else(|| {
            let new = Source { source: flow.source, len: 0, queries: VecDeque::new() };
            self.sources.push_back(new);
            self.sources.len() - 1
        });
        let source = &mut self.sources[at];
        source.len += 1;
        match source.queries.iter_mut().find(|q| q.query == flow.query) {
            Some(query) => query.items.push_back(work),
            None => {
                let items = VecDeque::from([work]);
                source.queries.push_back(Query { query: flow.query, items });
            }
        }
    }

    fn take_source(&mut self, source: u64) -> Source {
        let at = self.sources.iter().position(|s| s.source == source);
        at.and_then(|i| self.sources.remove(i)).unwrap_or(Source {
            source,
            len: 0,
            queries: VecDeque::new(),
        })
    }

    fn evict_from(&mut self, source: u64) -> Option<WorkKey> {
        let source = self.sources.iter_mut().find(|s| s.source == source)?;
        let query = source.queries.iter_mut().max_by_key(|q| q.items.len())?;
        let work = query.items.pop_back()?;
        source.len -= 1;
        self.len -= 1;
        self.remove_empty();
        Some(work)
    }

    fn remove_empty(&mut self) {
        for source in &mut self.sources {
            source.queries.retain(|q| !q.items.is_empty());
        }
        self.sources.retain(|s| !s.queries.is_empty());
    }
}

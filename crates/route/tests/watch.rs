//! Requests that servers may be executing although nobody waits for them.

use std::time::Duration;
use std::time::Instant;

use chervil_route::fleet::BackendKey;
use chervil_route::watch::Abandoned;
use chervil_route::watch::ConnectBudget;
use chervil_route::watch::LinkState;
use chervil_route::watch::Observation;
use chervil_route::watch::Presence;
use chervil_route::watch::ServerWatch;
use chervil_route::watch::Step;
use chervil_route::watch::WatchList;
use slotmap::SlotMap;

fn keys(count: usize) -> Vec<BackendKey> {
    let mut servers: SlotMap<BackendKey, ()> = SlotMap::with_key();
    (0..count).map(|_| servers.insert(())).collect()
}

fn requests(abandoned: Vec<Abandoned<u32>>) -> Vec<u32> {
    abandoned.into_iter().map(|a| a.request).collect()
}

/// Guards against a watch that ends while the server may still be executing the request, and
/// against one that goes on for a request that it has survived.
#[test]
fn watch_ends_once_the_server_is_sound_after_the_deadline() {
    let (server, start) = (keys(1)[0], Instant::now());
    let mut list = WatchList::default();
    list.add(server, Abandoned::new(1, start, Duration::from_secs(1)));
    list.add(server, Abandoned::new(2, start, Duration::from_secs(4)));

    let early = requests(list.end_sound(server, start + Duration::from_secs(1)));
    let late = requests(list.end_sound(server, start + Duration::from_secs(2)));

    assert_eq!((early, late), (vec![], vec![1]));
    assert_eq!(requests(list.take(server)), [2]);
    assert!(list.is_empty());
}

/// Guards against a crash that counts for the earliest of several copies, which was sent before an
/// earlier crash was known.
#[test]
fn latest_request_comes_first() {
    let (server, start) = (keys(1)[0], Instant::now());
    let mut list = WatchList::default();
    for request in 0..3 {
        list.add(server, Abandoned::new(request, start, Duration::from_secs(1)));
    }

    assert_eq!(requests(list.take(server)), [2, 1, 0]);
}

/// Guards against memory that grows with the number of requests or servers, and against a watch
/// without end at a server that shows no sign.
#[test]
fn watch_is_bounded_in_number_and_time() {
    let start = Instant::now();
    let mut list = WatchList::default();
    let servers = keys(3_000);
    let at_one = (0..100).filter(|r| {
        let abandoned = Abandoned::new(*r, start, Duration::from_secs(3_600));
        !list.add(servers[0], abandoned)
    });
    let replaced = at_one.count();
    let refused = servers[1..]
        .iter()
        .filter(|server| !list.add(**server, Abandoned::new(0, start, Duration::from_secs(1))))
        .count();

    let timeout = Duration::from_secs(5);
    let kept = list.expire(timeout, start + Duration::from_secs(6));
    let rest = list.expire(timeout, start + Duration::from_secs(66));

    assert_eq!((replaced, refused), (36, 952));
    assert_eq!((kept, rest), (0, 2_047 + 64));
    assert!(list.is_empty());
}

/// Guards against a host that loads slow servers with connections that it opens only to watch them.
/// Load pattern: for ten seconds it abandons a request at each of 270 servers every 250 ms.
#[test]
fn connections_to_watch_servers_are_limited_while_all_are_slow() {
    let start = Instant::now();
    let mut budget = ConnectBudget::default();

    let spent = (0..40).map(|check| {
        let now = start + Duration::from_millis(250 * check);
        (0..270).filter(|_| budget.try_spend(now)).count()
    });
    let spent = spent.sum::<usize>();

    assert!(spent <= 10 + 50, "{spent} connections");
    assert!(budget.try_spend(start + Duration::from_secs(60)));
}

const CLOSED: Observation = Observation {
    link: LinkState::Closed,
    presence: Presence::Present,
    is_suspected: false,
    has_lost_server: false,
};

/// Guards against a server that is connected to again and again while it does not answer, and
/// against one that is not looked at as soon as its connection closes.
#[test]
fn server_is_connected_to_once_a_second_and_at_once_after_a_close() {
    let start = Instant::now();
    let (mut watch, mut connects) = (ServerWatch::new(start), ConnectBudget::default());
    let open = Observation { link: LinkState::Open, ..CLOSED };
    let mut next =
        |observation, ms| watch.next(observation, &mut connects, start + Duration::from_millis(ms));

    let steps = [next(CLOSED, 0), next(CLOSED, 250), next(CLOSED, 1_000)];
    let reopened = [next(open, 1_250), next(CLOSED, 1_500)];

    assert_eq!(steps, [Step::Connect, Step::Wait, Step::Connect]);
    assert_eq!(reopened, [Step::EndSound, Step::Connect]);
}

/// Guards against a planned end that counts as a crash, and against a server whose entry is gone
/// and that is watched without end.
#[test]
fn end_of_a_leaving_server_is_no_crash() {
    let start = Instant::now();
    let gone = Observation { presence: Presence::Gone, ..CLOSED };
    let leaving = Observation { link: LinkState::Open, presence: Presence::Leaving, ..CLOSED };
    let mut connects = ConnectBudget::default();
    let mut steps = |observations: [Observation; 2]| {
        let mut watch = ServerWatch::new(start);
        observations.map(|observation| watch.next(observation, &mut connects, start))
    };

    assert_eq!(steps([leaving, gone]), [Step::EndSound, Step::Drop]);
    assert_eq!(steps([gone, gone]), [Step::Connect, Step::Drop]);
}

/// Guards against a request that has crashed servers before and waits for a connection behind
/// hundreds of sound ones.
#[test]
fn request_that_has_lost_a_server_does_not_wait_for_a_connection() {
    let start = Instant::now();
    let mut connects = ConnectBudget::default();
    while connects.try_spend(start) {}
    let mut next = |observation| ServerWatch::new(start).next(observation, &mut connects, start);

    let steps = [next(CLOSED), next(Observation { has_lost_server: true, ..CLOSED })];

    assert_eq!(steps, [Step::WaitForConnect, Step::Connect]);
}

/// Guards against a second search for a crash beside the first one, against connections to a
/// server at its limit, and against a request in progress that is taken for a crash.
#[test]
fn server_is_not_connected_to_without_need() {
    let start = Instant::now();
    let observations = [
        Observation { link: LinkState::Busy, ..CLOSED },
        Observation { is_suspected: true, ..CLOSED },
        Observation { presence: Presence::AtLimit, ..CLOSED },
    ];

    for observation in observations {
        let step = ServerWatch::new(start).next(observation, &mut ConnectBudget::default(), start);

        assert_eq!(step, Step::Wait, "{observation:?}");
    }
}

use super::*;
use crate::memory_budget::MemoryBudgets;
use tokio::net::TcpListener;

const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The connection that has been idle longest is the least likely to be reused, whichever upstream it leads
/// to.
#[tokio::test(flavor = "local")]
async fn the_connection_idle_longest_is_closed_when_no_slot_is_free() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let memory = MemoryBudgets::for_upstream_connections(9, 0);
    let pool = ConnectionPool::new(9, MAX_IDLE_TIME, memory.connections);
    let idle_order = [3, 8, 1, 7, 2, 9, 4, 6, 5].map(UpstreamId);
    for upstream in idle_order {
        let slot = pool.acquire_slot(upstream).await;
        pool.put(upstream, Connection::open(peer, slot).await.unwrap());
    }

    let mut slots = Vec::new();
    for (closed_before, upstream) in idle_order.into_iter().enumerate() {
        assert!(pool.idle.borrow().contains(upstream));

        slots.push(pool.acquire_slot(UpstreamId(99)).await);

        assert!(!pool.idle.borrow().contains(upstream), "{closed_before}");
        assert_eq!(pool.idle.borrow().len(), 8 - closed_before);
        assert_eq!(pool.open_connections(), 9);
    }
}

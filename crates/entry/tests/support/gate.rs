//! Fake gate that answers in place of three backend servers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervil_base::HashMap;
use chervil_base::index::HeldVersion;
use chervil_base::index::ServerIndex;
use chervil_base::shards::ShardSet;
use chervil_rpc::gate::AskBatch;
use chervil_rpc::gate::AskItem;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::GateRpcServer;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::Row;
use chervil_rpc::gate::RunReply;
use chervil_rpc::gate::RunRequest;
use chervil_rpc::gate::WarmupLevel;
use jsonrpsee::PendingSubscriptionSink;
use jsonrpsee::SubscriptionMessage;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::core::async_trait;
use serde_json::value::to_raw_value;

/// Behaviour of a fake gate, and the requests that it has received.
pub struct State {
    /// Index version that the servers hold.
    pub version: u64,
    /// Version that `index` reports when it differs from the one held.
    pub reported_version: Option<u64>,
    /// Delay of every reply.
    pub delay: Duration,
    /// Results that servers return in place of rows, by server.
    pub faults: HashMap<Box<str>, AskResult>,
    /// Replies to run requests, by server; the others run the work.
    pub run_replies: HashMap<Box<str>, RunReply>,
    /// Sub-requests received.
    pub asked: Vec<AskItem>,
    /// Trace contexts of the batches received.
    pub traces: Vec<Option<Box<str>>>,
    /// Servers of the run requests received, in order.
    pub ran: Vec<Box<str>>,
    /// Whether the gate refuses all sub-requests as not the owner of the group.
    pub owns_nothing: bool,
}

#[derive(Default)]
pub struct FakeGate(Mutex<State>);

impl Default for State {
    fn default() -> State {
        State {
            version: 7,
            reported_version: None,
            delay: Duration::ZERO,
            faults: HashMap::default(),
            run_replies: HashMap::default(),
            asked: Vec::new(),
            traces: Vec::new(),
            ran: Vec::new(),
            owns_nothing: false,
        }
    }
}

impl FakeGate {
    pub fn state(&self) -> MutexGuard<'_, State> {
        super::lock(&self.0)
    }
}

/// The two rows that each shard has at a version.
pub fn rows(version: u64, shard: u32) -> Vec<Row> {
    let row = |i: u32| Row {
        key: format!("{i}-{shard:02}").into(),
        value: serde_json::json!({ "version": version, "shard": shard }),
    };
    (0..2).map(row).collect()
}

fn held(version: u64) -> Vec<HeldVersion> {
    vec![HeldVersion { version, shards: 12, held: ShardSet::full(12) }]
}

impl State {
    fn result(&self, version: u64, item: &AskItem) -> AskResult {
        if self.owns_nothing {
            return AskResult::Refused { reason: Refusal::NotOwner, retry_ms: None };
        }
        if let Some(fault) = self.faults.get(&item.server) {
            return fault.clone();
        }
        if version != self.version {
            return AskResult::WrongVersion { held: held(self.version) };
        }
        AskResult::Rows { version, rows: rows(version, item.shard), partial: false }
    }
}

/// RPC methods of the fake gate.
pub struct FakeGateRpc(pub Arc<FakeGate>);

#[async_trait]
impl GateRpcServer for FakeGateRpc {
    async fn ask(&self, sink: PendingSubscriptionSink, batch: AskBatch) -> SubscriptionResult {
        let sink = sink.accept().await?;
        let delay = self.0.state().delay;
        tokio::time::sleep(delay).await;
        self.0.state().traces.push(batch.trace.clone());
        for item in &batch.items {
            let result = {
                let mut state = self.0.state();
                state.asked.push(item.clone());
                state.result(batch.version, item)
            };
            let (incarnation, query, attempt) = (batch.incarnation, batch.query, item.attempt);
            let reply = AskReply { incarnation, query, attempt, result };
            let message = to_raw_value(&reply)?;
            if sink.send(SubscriptionMessage::from(message)).await.is_err() {
                break;
            }
        }
        sink.closed().await;
        Ok(())
    }

    async fn run(&self, request: RunRequest) -> RpcResult<RunReply> {
        let delay = self.0.state().delay;
        tokio::time::sleep(delay).await;
        let mut state = self.0.state();
        state.ran.push(request.server.clone());
        let reply = state.run_replies.get(&request.server).cloned();
        Ok(reply.unwrap_or(RunReply::Done { body: format!("ran {}", request.body).into() }))
    }

    async fn index(&self, service: Box<str>) -> RpcResult<Vec<ServerIndex>> {
        let version = {
            let state = self.0.state();
            state.reported_version.unwrap_or(state.version)
        };
        let server =
            |i| ServerIndex { server: format!("{service}-{i}").into(), versions: held(version) };
        Ok((1..=3).map(server).collect())
    }

    async fn hint(&self, _: Vec<WarmupLevel>) -> RpcResult<()> {
        Ok(())
    }
}

//! Serves the connections from other daemons: requests on streams, and datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderworks_decision::clock::Clock;
use corianderworks_lists::chunk::ChunkHash;
use corianderworks_wire::codec;
use corianderworks_wire::message::{Answer, Datagram, PeerRequest, RelayHead, RelayPurpose};
use kameo::actor::ActorRef;
use quinn::{Connection, RecvStream, SendStream};
use tokio::sync::mpsc;

use crate::control::{Control, ControlEvent, SharedState};
use crate::job::JobHead;
use crate::peer::{PeerError, recv_message, send_message};
use crate::proxy::EntryProxy;
use crate::reasons::Reason;
use crate::refusal::Refusal;
use crate::relay;
use crate::store;

/// Handles the streams and datagrams of all peer connections.
pub struct PeerService<C>
where
    C: Clock,
{
    /// Entry point of this daemon, which also counts relayed requests as in flight.
    pub entry: Arc<EntryProxy<C>>,
    /// State published by the control loop: configuration, VM list and phase.
    pub shared: Arc<SharedState>,
    /// Control loop, which receives all datagrams.
    pub control: ActorRef<Control<C>>,
}

impl<C> PeerService<C>
where
    C: Clock,
{
    /// Serves each connection from `connections` in its own task, until the socket is closed.
    pub async fn run(self: Arc<Self>, mut connections: mpsc::UnboundedReceiver<Connection>) {
        while let Some(connection) = connections.recv().await {
            let service = self.clone();
            tokio::spawn(async move { service.serve(connection).await });
        }
    }

    async fn serve(self: Arc<Self>, connection: Connection) {
        let from = connection.remote_address();
        loop {
            tokio::select! {
                datagram = connection.read_datagram() => match datagram {
                    Ok(bytes) => self.handle_datagram(from, &bytes).await,
                    Err(_) => return,
                },
                stream = connection.accept_bi() => match stream {
                    Ok((send, recv)) => {
                        let service = self.clone();
                        tokio::spawn(async move {
                            if let Err(error) = service.handle_stream(send, recv).await {
                                tracing::debug!("peer: a stream from {from} failed: {error}");
                            }
                        });
                    }
                    Err(_) => return,
                },
            }
        }
    }

    async fn handle_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        match codec::decode::<Datagram>(bytes) {
            Ok(datagram) => {
                let _ = self
                    .control
                    .tell(ControlEvent::Datagram { from, datagram })
                    .await;
            }
            Err(error) => {
                tracing::warn!("peer: a datagram from {from} could not be decoded: {error}")
            }
        }
    }

    async fn handle_stream(
        &self,
        mut send: SendStream,
        mut recv: RecvStream,
    ) -> Result<(), PeerError> {
        let response = match recv_message(&mut recv).await? {
            PeerRequest::Relay(head) => return self.relay(head, send, recv).await,
            PeerRequest::Version => {
                let manifest = self.shared.configuration.load().manifest.clone();
                Answer::Version((!manifest.is_empty()).then_some(manifest))
            }
            PeerRequest::Chunk(hash) => {
                let configuration = self.shared.configuration.load();
                Answer::Chunk(configuration.chunks.get(&ChunkHash::from(hash)).cloned())
            }
            PeerRequest::Vms(page) => Answer::Vms(store::vm_page(&self.shared.vms.load(), page)),
            PeerRequest::Grant(request) => {
                Answer::Grant(self.entry.parts.grants.handle_request(request))
            }
            PeerRequest::Key(key) => Answer::Key(self.entry.issued_state(&key)),
        };
        send_message(&mut send, &response).await?;
        let _ = send.finish();
        Ok(())
    }

    async fn relay(
        &self,
        head: RelayHead,
        mut send: SendStream,
        recv: RecvStream,
    ) -> Result<(), PeerError> {
        let request_id = head.request_id;
        let (purpose, has_body) = (head.purpose, head.has_body);
        let _in_flight = self.entry.start_request();
        let allowed_operations = self.shared.phase().allowed_operations();
        let Some(head) = JobHead::from_relay(head, self.entry.parts.clock.now()) else {
            let refusal = Err(Refusal::not_run(Reason::BadRequest));
            return relay::send_reply(&mut send, request_id, refusal, (0, 0)).await;
        };
        let service = head.service_key();
        let job = relay::read_job(head, recv, has_body);
        let cancelled = relay::cancelled(&send);
        let execution = async {
            match purpose {
                _ if allowed_operations.relayed_requests || allowed_operations.caller_requests => {}
                RelayPurpose::Dispatch => return Err(Refusal::not_run(Reason::Draining)),
                // An earlier request with the same idempotency key may have run.
                RelayPurpose::KeyOwner => return Err(Refusal::unknown(Reason::Draining)),
            }
            match purpose {
                RelayPurpose::Dispatch => self.entry.parts.homes.run(job).await,
                RelayPurpose::KeyOwner => self.entry.run_issued(job).await,
            }
        };
        let reply = tokio::select! {
            reply = execution => reply,
            () = cancelled => return Ok(()),
        };
        let load = self.entry.parts.homes.load(service).unwrap_or((0, 0));
        relay::send_reply(&mut send, request_id, reply, load).await
    }
}

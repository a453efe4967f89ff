//! RPC between daemons: length-prefixed musli frames over TCP.
//!
//! Calls to one peer share a connection and are matched with their replies by call number.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt, FutureExt};
use heronbend::identity::{NodeId, NodeName};
use heronbend::membership::Member;
use heronbend::record::Record;
use heronbend::register::messages::ShardRequest;
use heronbend::register::{ReplicaReply, ShardMap};
use musli::{Decode, Encode};
use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

use crate::shared::Shared;

/// Maximum frame size in bytes, checked before the body is read.
const MAX_FRAME_BYTES: u32 = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const OUTGOING_CAPACITY: usize = 1024;
const LENGTH_BYTES: usize = size_of::<u32>();

/// A request to another daemon.
#[derive(Debug, Clone, Encode, Decode)]
pub enum PeerRequest {
    /// A request to a replica of a specific daemon incarnation.
    Shard {
        /// Node that hosts the replica.
        to: NodeId,
        /// Request to the replica.
        request: ShardRequest<Record>,
    },
    /// Fetches settings, shard map and members.
    Control,
}

/// Control data held by a daemon.
#[derive(Debug, Clone, Encode, Decode)]
pub struct ControlData {
    /// Settings object in JSON; empty if not loaded.
    pub settings: Vec<u8>,
    /// Shard map.
    pub shard_map: ShardMap,
    /// The daemon itself and all members known to it.
    pub members: Vec<Member>,
}

/// The reply to a [`PeerRequest`].
#[derive(Debug, Clone, Encode, Decode)]
pub enum PeerReply {
    /// A replica's reply.
    Shard(ReplicaReply<Record>),
    /// Control data.
    Control(ControlData),
    /// The request was addressed to another incarnation of this daemon.
    WrongRun,
}

#[derive(Debug, Encode, Decode)]
struct RequestFrame {
    call: u64,
    from: NodeName,
    request: PeerRequest,
}

#[derive(Debug, Encode, Decode)]
struct ReplyFrame {
    call: u64,
    reply: PeerReply,
}

struct OutgoingCall {
    frame: Vec<u8>,
    call: u64,
    reply: Sender<PeerReply>,
}

/// Client for calls to other daemons, for use by one thread. Clones share connections.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    connections: Rc<RefCell<HashMap<SocketAddr, Sender<OutgoingCall>>>>,
    next_call: Rc<RefCell<u64>>,
}

impl PeerClient {
    /// Creates a client whose connections run on `executor`.
    pub fn new(shared: Arc<Shared>, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { shared, executor, connections: Rc::default(), next_call: Rc::default() }
    }

    /// Calls a peer; returns `None` on failure or timeout.
    pub async fn call(
        &self,
        address: SocketAddr,
        peer: Option<&NodeName>,
        request: PeerRequest,
        timeout: Duration,
    ) -> Option<PeerReply> {
        if peer.is_some_and(|peer| self.shared.failpoints.drops_to(peer)) {
            Timer::after(timeout).await;
            return None;
        }
        let (reply, replies) = bounded(1);
        let call = {
            let mut next = self.next_call.borrow_mut();
            *next += 1;
            *next
        };
        let frame = RequestFrame { call, from: self.shared.identity.node.name.clone(), request };
        let frame = encode_frame(&frame)?;
        self.shared.metrics.peer_bytes_sent.inc_by(frame.len() as u64);
        let connection = self.connection(address);
        connection.try_send(OutgoingCall { frame, call, reply }).ok()?;
        let received = async { replies.recv().await.ok() };
        received
            .or(async {
                Timer::after(timeout).await;
                None
            })
            .await
    }

    fn connection(&self, address: SocketAddr) -> Sender<OutgoingCall> {
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.get(&address).filter(|open| !open.is_closed()) {
            return connection.clone();
        }
        let (sender, receiver) = bounded(OUTGOING_CAPACITY);
        connections.insert(address, sender.clone());
        self.executor
            .spawn(async move {
                if let Err(error) = drive_connection(address, receiver).await {
                    log::debug!("event=peer_connection_ended address={address} error={error}");
                }
            })
            .detach();
        sender
    }
}

type PendingCalls = RefCell<HashMap<u64, Sender<PeerReply>>>;

/// Runs a connection: sends requests and dispatches replies to their callers.
///
/// Returns when sending or receiving fails; pending calls then fail without a reply.
async fn drive_connection(address: SocketAddr, outgoing: Receiver<OutgoingCall>) -> io::Result<()> {
    // Returning drops the receiver, which closes the channel, so the next call opens a new
    // connection.
    let connecting = TcpStream::connect(address).or(async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    });
    let socket = connecting.await?;
    socket.set_nodelay(true)?;
    let pending = PendingCalls::default();
    let send = async {
        let mut writer = socket.clone();
        while let Ok(next) = outgoing.recv().await {
            pending.borrow_mut().insert(next.call, next.reply);
            writer.write_all(&next.frame).await?;
        }
        Ok(())
    };
    let receive = async {
        let mut reader = socket.clone();
        while let Some(frame) = read_frame::<ReplyFrame>(&mut reader).await? {
            if let Some(reply) = pending.borrow_mut().remove(&frame.call) {
                let _ = reply.try_send(frame.reply);
            }
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    };
    send.or(receive).await
}

/// Accepts connections and replies to each request with the result of `handle`.
pub async fn serve_peers(
    shared: Arc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    handle: impl Fn(PeerRequest) -> PeerReply + Clone + 'static,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let handle = handle.clone();
        let shared = shared.clone();
        executor
            .spawn(async move {
                if let Err(error) = serve_peer(&shared, socket, handle).await {
                    log::debug!("event=peer_served_until error={error}");
                }
            })
            .detach();
    }
}

async fn serve_peer(
    shared: &Shared,
    mut socket: TcpStream,
    handle: impl Fn(PeerRequest) -> PeerReply,
) -> io::Result<()> {
    while let Some(frame) = read_frame::<RequestFrame>(&mut socket).await? {
        if shared.failpoints.drops_from(&frame.from) || shared.failpoints.drops_to(&frame.from) {
            continue;
        }
        let reply = ReplyFrame { call: frame.call, reply: handle(frame.request) };
        let Some(bytes) = encode_frame(&reply) else {
            continue;
        };
        shared.metrics.peer_bytes_sent.inc_by(bytes.len() as u64);
        socket.write_all(&bytes).await?;
    }
    Ok(())
}

fn encode_frame<T: Encode<musli::mode::Binary>>(frame: &T) -> Option<Vec<u8>> {
    let body = musli::wire::to_vec(frame).ok()?;
    let length = u32::try_from(body.len()).ok().filter(|length| *length <= MAX_FRAME_BYTES)?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(body);
    Some(bytes)
}

async fn read_frame<T>(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<T>>
where
    T: for<'de> Decode<'de, musli::mode::Binary, musli::alloc::Global>,
{
    let mut length = [0; LENGTH_BYTES];
    if let Err(error) = reader.read_exact(&mut length).await {
        return match error.kind() {
            io::ErrorKind::UnexpectedEof => Ok(None),
            _ => Err(error),
        };
    }
    let length = u32::from_le_bytes(length);
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other("a frame is larger than allowed"));
    }
    let mut body = Vec::new();
    reader.take(u64::from(length)).read_to_end(&mut body).await?;
    if body.len() != length as usize {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    musli::wire::from_slice(&body).map(Some).map_err(io::Error::other)
}

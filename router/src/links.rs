//! Connections between routers: length-prefixed postcard frames over TCP. Requests that expect a
//! response are multiplexed by id; one-way requests have the id 0.

use crate::frame::{read_frame, write_frame};
use crate::protocol::{Frame, Request, Response};
use crate::socket;
use crate::sync::lock;
use crate::traffic::Traffic;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::timeout;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between attempts to establish a connection, while the earlier ones go on. The SYN to a
/// peer that is just starting is lost, and the kernel retransmits it only after a second.
const CONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of a connection's queue. Requests beyond it are dropped.
const QUEUE_CAPACITY: usize = 256;

type Pending = Arc<Mutex<HashMap<u32, oneshot::Sender<Response>>>>;

/// A connection to another router, opened on first use.
#[derive(Clone)]
struct Link {
    frames: mpsc::Sender<Frame>,
    pending: Pending,
}

/// Connections to other routers, by address.
#[derive(Default)]
pub struct Links {
    links: Mutex<HashMap<SocketAddrV4, Link>>,
    next_id: AtomicU32,
    traffic: Arc<Traffic>,
}

impl Links {
    /// Traffic on all connections, including those that other routers opened.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    fn link(&self, address: SocketAddrV4) -> Link {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(&address).filter(|link| !link.frames.is_closed()) {
            return link.clone();
        }
        let (frames, queue) = mpsc::channel(QUEUE_CAPACITY);
        let link = Link {
            frames,
            pending: Pending::default(),
        };
        tokio::spawn(run_link(
            address,
            queue,
            link.pending.clone(),
            self.traffic.clone(),
        ));
        links.insert(address, link.clone());
        link
    }

    /// Sends a one-way request; dropped if the connection's queue is full.
    pub fn send(&self, address: SocketAddrV4, request: Request) {
        // An error is ignored: if the connection has just ended, the next request reopens it.
        let _ = self
            .link(address)
            .frames
            .try_send(Frame::Request(0, request));
    }

    /// Sends a request and waits for its response; `None` if none arrives within the time limit.
    pub async fn call(
        &self,
        address: SocketAddrV4,
        request: Request,
        time_limit: Duration,
    ) -> Option<Response> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) | 1 << 31;
        let link = self.link(address);
        let (sender, received) = oneshot::channel();
        lock(&link.pending).insert(id, sender);
        let response = match link.frames.try_send(Frame::Request(id, request)) {
            Ok(()) => timeout(time_limit, received)
                .await
                .ok()
                .and_then(Result::ok),
            Err(_) => None,
        };
        lock(&link.pending).remove(&id);
        response
    }
}

/// Connects to a router. A further attempt begins every [`CONNECT_INTERVAL`]; the first one that
/// ends decides.
async fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    let mut next_attempt = tokio::time::interval(CONNECT_INTERVAL);
    loop {
        tokio::select! {
            Some(connected) = attempts.next() => return connected,
            _ = next_attempt.tick() => attempts.push(TcpStream::connect(address)),
        }
    }
}

async fn run_link(
    address: SocketAddrV4,
    mut queue: mpsc::Receiver<Frame>,
    pending: Pending,
    traffic: Arc<Traffic>,
) {
    let connected = timeout(CONNECT_TIMEOUT, connect(address)).await;
    if let Ok(Ok(stream)) = connected
        && socket::configure(&stream).is_ok()
    {
        let (mut reader, mut writer) = stream.into_split();
        let write = async {
            while let Some(frame) = queue.recv().await {
                write_frame(&mut writer, &frame, &traffic).await?;
            }
            io::Result::Ok(())
        };
        let read = async {
            loop {
                if let Frame::Response(id, response) = read_frame(&mut reader, &traffic).await?
                    && let Some(sender) = lock(&pending).remove(&id)
                {
                    // The caller may have given up.
                    let _ = sender.send(response);
                }
            }
            #[expect(unreachable_code, reason = "names the type of the block")]
            io::Result::Ok(())
        };
        let ended = tokio::select! { ended = write => ended, ended = read => ended };
        if let Err(error) = ended {
            log::debug!("the connection to {address} ended: {error}");
        }
    }
    queue.close();
    lock(&pending).clear();
}

/// A response, with the resources that are held until it is written.
#[derive(Debug)]
pub struct Reply {
    /// The response.
    pub response: Response,
    /// Permit for the memory of a large response.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Self {
        Reply {
            response,
            permit: None,
        }
    }
}

/// Handles requests of other routers.
pub trait Service: Send + Sync + 'static {
    /// Handles one request; `None` for one-way requests.
    fn handle(
        self: Arc<Self>,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Option<Reply>> + Send>>;
}

/// Accepts and serves connections of other routers.
pub async fn serve(listener: TcpListener, service: Arc<impl Service>, traffic: Arc<Traffic>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, service.clone(), traffic.clone()));
            }
            Err(error) => {
                log::warn!("a connection of another router could not be accepted: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, service: Arc<impl Service>, traffic: Arc<Traffic>) {
    if socket::configure(&stream).is_err() {
        return;
    }
    let (mut reader, mut writer) = stream.into_split();
    let (replies, mut queue) = mpsc::channel::<(u32, Reply)>(QUEUE_CAPACITY);
    let write = async {
        while let Some((id, Reply { response, permit })) = queue.recv().await {
            write_frame(&mut writer, &Frame::Response(id, response), &traffic).await?;
            drop(permit);
        }
        io::Result::Ok(())
    };
    let read = async {
        loop {
            let Frame::Request(id, request) = read_frame(&mut reader, &traffic).await? else {
                continue;
            };
            if id == 0 {
                service.clone().handle(request).await;
                continue;
            }
            let (service, replies) = (service.clone(), replies.clone());
            tokio::spawn(async move {
                if let Some(reply) = service.handle(request).await {
                    // The caller may have disconnected.
                    let _ = replies.send((id, reply)).await;
                }
            });
        }
        #[expect(unreachable_code, reason = "names the type of the block")]
        io::Result::Ok(())
    };
    let ended: io::Result<()> = tokio::select! { ended = write => ended, ended = read => ended };
    if let Err(error) = ended {
        log::debug!("a connection of another router ended: {error}");
    }
}

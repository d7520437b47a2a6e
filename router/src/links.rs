//! Connections between routers: length-prefixed postcard frames over TCP, requests with answers and
//! without.

use crate::frame::{read_frame, write_frame};
use crate::protocol::{Frame, Request, Response};
use crate::socket;
use crate::sync::lock;
use crate::traffic::Traffic;
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

/// How long a connection may take to come up. Short, as a peer that is just starting loses the
/// first packet, and the system sends that again only after a second.
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);
/// Frames that wait for a connection; more are dropped.
const QUEUE: usize = 256;

type Pending = Arc<Mutex<HashMap<u32, oneshot::Sender<Response>>>>;

/// One connection to another router, made when it is first used.
#[derive(Clone)]
struct Link {
    frames: mpsc::Sender<Frame>,
    pending: Pending,
}

/// Connections to other routers, by address.
#[derive(Default)]
pub struct Links {
    links: Mutex<HashMap<SocketAddrV4, Link>>,
    next: AtomicU32,
    traffic: Arc<Traffic>,
}

impl Links {
    /// What was sent and received on all connections, those of other routers to this one included.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    fn link(&self, address: SocketAddrV4) -> Link {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(&address).filter(|link| !link.frames.is_closed()) {
            return link.clone();
        }
        let (frames, queue) = mpsc::channel(QUEUE);
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

    /// Sends a request that has no answer; dropped where the connection can't take it.
    pub fn send(&self, address: SocketAddrV4, request: Request) {
        // A link that has just ended is made anew by the next message.
        let _ = self
            .link(address)
            .frames
            .try_send(Frame::Request(0, request));
    }

    /// Sends a request and waits for its answer; none where there is none in time.
    pub async fn call(
        &self,
        address: SocketAddrV4,
        request: Request,
        patience: Duration,
    ) -> Option<Response> {
        let id = self.next.fetch_add(1, Ordering::Relaxed) | 1 << 31;
        let link = self.link(address);
        let (answer, answered) = oneshot::channel();
        lock(&link.pending).insert(id, answer);
        let response = match link.frames.try_send(Frame::Request(id, request)) {
            Ok(()) => timeout(patience, answered).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        lock(&link.pending).remove(&id);
        response
    }
}

async fn run_link(
    address: SocketAddrV4,
    mut queue: mpsc::Receiver<Frame>,
    pending: Pending,
    traffic: Arc<Traffic>,
) {
    let connected = timeout(CONNECT_PATIENCE, TcpStream::connect(address)).await;
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
                    && let Some(answer) = lock(&pending).remove(&id)
                {
                    // The asker may have given up.
                    let _ = answer.send(response);
                }
            }
            #[expect(unreachable_code, reason = "names the type of the block")]
            io::Result::Ok(())
        };
        let ended = tokio::select! { ended = write => ended, ended = read => ended };
        if let Err(problem) = ended {
            log::debug!("the connection to {address} ended: {problem}");
        }
    }
    queue.close();
    lock(&pending).clear();
}

/// An answer, with what is held until it is written.
#[derive(Debug)]
pub struct Answer {
    /// What is answered.
    pub response: Response,
    /// A share of the memory that large answers may take.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl From<Response> for Answer {
    fn from(response: Response) -> Self {
        Answer {
            response,
            permit: None,
        }
    }
}

/// Answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers one request; none for requests that have no answer.
    fn answer(
        self: Arc<Self>,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Option<Answer>> + Send>>;
}

/// Serves requests of other routers.
pub async fn serve(listener: TcpListener, service: Arc<impl Service>, traffic: Arc<Traffic>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, service.clone(), traffic.clone()));
            }
            Err(problem) => {
                log::warn!("a connection of another router could not be taken: {problem}");
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
    let (answers, mut queue) = mpsc::channel::<(u32, Answer)>(QUEUE);
    let write = async {
        while let Some((id, Answer { response, permit })) = queue.recv().await {
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
                service.clone().answer(request).await;
                continue;
            }
            let (service, answers) = (service.clone(), answers.clone());
            tokio::spawn(async move {
                if let Some(answer) = service.answer(request).await {
                    // The asker may be gone.
                    let _ = answers.send((id, answer)).await;
                }
            });
        }
        #[expect(unreachable_code, reason = "names the type of the block")]
        io::Result::Ok(())
    };
    let ended: io::Result<()> = tokio::select! { ended = write => ended, ended = read => ended };
    if let Err(problem) = ended {
        log::debug!("a connection of another router ended: {problem}");
    }
}

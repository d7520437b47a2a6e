//! All limits of the program: sizes, counts and times.
//!
//! They are computed at the start, and when settings are reloaded, from the defaults here and from
//! the settings.

use dispatch::interface::Time;

/// One millisecond in nanoseconds, the unit of [`Time`].
pub const MS: Time = 1_000_000;

/// The program's limits.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Bytes of the start line and headers of an HTTP message.
    pub head_bytes: usize,
    /// Bytes of the body of an HTTP message.
    pub body_bytes: usize,
    /// Bytes of one frame from an index host. Buffers of the store's protocol hold a multiple of
    /// it.
    pub frame_bytes: usize,
    /// Bytes of one line of a discovery watch.
    pub watch_line_bytes: usize,
    /// Nesting depth of a catalogue query.
    pub query_depth: usize,
    /// Nesting depth of a Z39.50 data unit.
    pub ber_depth: usize,
    /// Records on one page.
    pub page_records: usize,
    /// Records that one part requests from an index host.
    pub part_records: u32,
    /// Bytes of one catalogue response from an index host.
    pub host_message_bytes: usize,
    /// Positions that can be reached in a sorted result.
    pub sorted_reach: u64,
    /// Records sorted locally for a host that cannot sort.
    pub local_sort: u32,
    /// Rounds of parts in one client operation.
    pub operation_rounds: u32,
    /// Exchanges with the index host for one part.
    pub part_exchanges: u32,
    /// Terms of one scan.
    pub scan_terms: u32,
    /// Sort keys of one search.
    pub sort_keys: usize,
    /// Facets of one search, and values per facet.
    pub facets: (usize, u32),
    /// Clauses of a Z39.50 query.
    pub clauses: usize,
    /// Result sets of one Z39.50 session.
    pub result_sets: usize,
    /// Result sets of all clients, and their total bytes.
    pub all_sets: (usize, usize),
    /// How long an unused result set is kept.
    pub set_ttl: Time,
    /// Names of removed result sets that are remembered, to distinguish them from unknown names.
    pub removed_sets: usize,
    /// Concurrent operations of one Z39.50 session.
    pub operations: usize,
    /// Bytes of one Z39.50 message to a client.
    pub client_message_bytes: usize,
    /// Bytes of unwritten output to one client, above which no further requests are handled.
    pub output_bytes: usize,
    /// How long a Z39.50 client may leave its output unread before it is disconnected.
    pub stalled_reader: Time,
    /// Result sets that a session keeps at a Z39.50 host, and how long they are used.
    pub host_sets: (usize, Time),
    /// The first and the longest backoff after failed connections to a catalogue host.
    pub host_backoff: (Time, Time),
    /// How long a missing capability of a catalogue host is remembered.
    pub capability_ttl: Time,
    /// The minimum and maximum wait for the answer to an abandoned search, which frees its session.
    pub abandoned_search_time: (Time, Time),
    /// Number of open queries up to which turns are not delayed, if the settings have no `tick`.
    pub unbatched_queries: usize,
    /// How much each further open query adds to the time between turns.
    pub turn_gap_step: Time,
    /// Upper bound of that time.
    pub max_turn_gap: Time,
    /// Entries in the store's log before it is compacted into a snapshot.
    pub store_log: usize,
    /// Keys in the store.
    pub store_keys: usize,
    /// Sessions in the store.
    pub store_sessions: usize,
    /// Keys in one transaction of the store.
    pub store_txn_keys: usize,
    /// Concurrent requests to the store through one member.
    pub store_calls: usize,
    /// Changes kept for clients that watch the store from an earlier revision on.
    pub store_history: usize,
    /// The timeout of requests to the store over the line protocol.
    pub store_request_timeout: Time,
    /// The interval between heartbeats of the store's leader.
    pub store_heartbeat: Time,
    /// The minimum election timeout of a store member.
    pub store_election: Time,
    /// The interval between attempts to connect to another store member.
    pub store_retry: Time,
    /// The interval between attempts to query the recovery phase of a peer.
    pub recovery_retry: Time,
    /// The interval between log lines of a store member that waits for others.
    pub store_log_interval: Time,
    /// The interval at which the length of the audit log is reported to the store.
    pub audit_report_interval: Time,
    /// The backoff after a write failed because the disk is full.
    pub disk_full_backoff: Time,
    /// Bytes of a query id, an idempotency key, a host name or a catalogue query.
    pub name_bytes: usize,
    /// Bytes of the query texts in one call; a part with a longer text is sent alone.
    pub call_bytes: usize,
    /// Bytes read from a connection before other connections are served.
    pub read_burst: usize,
    /// File descriptors of the process.
    pub descriptors: usize,
    /// Client connections.
    pub clients: usize,
    /// Idle client connections that have sent a single request.
    pub single_request_clients: usize,
    /// Client connections of the catalogue.
    pub sessions: usize,
    /// Connections to all index hosts together.
    pub host_links: usize,
    /// Connections to one index host.
    pub connections_per_host: usize,
    /// Connections to one index host in the catalogue, where a connection carries one part at a
    /// time.
    pub host_sessions: usize,
    /// Parts in flight on one connection.
    pub parts_per_connection: usize,
    /// Parts queued on one connection.
    pub queued_parts: usize,
    /// Ids remembered on one connection after their parts were cancelled or answered.
    pub recent_part_ids: usize,
    /// Unanswered probes on one connection.
    pub queued_probes: usize,
    /// Index hosts in the table, including removed ones that are still in use. More than twice the
    /// largest fleet, as all hosts may be replaced at once.
    pub hosts: usize,
    /// Idle connections evicted at once.
    pub eviction_burst: usize,
    /// Connections accepted before other connections are served.
    pub accept_burst: usize,
    /// The timeout of a connection attempt.
    pub connect: Time,
    /// The idle timeout of a connection to an index host, which is shorter than the host's own.
    pub host_idle: Time,
    /// A connection with parts in flight gets no more calls after this time without input.
    pub link_unresponsive: Time,
    /// How long a frame from an index host may stay incomplete.
    pub frame_read: Time,
    /// The timeout of a probe.
    pub probe: Time,
    /// The time limit for receiving a request; for a first request, from when the client connected.
    pub request_read: Time,
    /// The idle timeout of a client connection after several requests.
    pub client_idle: Time,
    /// The idle timeout of a client connection after a single request.
    pub single_request_idle: Time,
    /// The idle timeout of a Z39.50 session, which is long as its result sets are lost with it.
    pub session_idle: Time,
    /// How long a connection must have sent nothing before it may be evicted.
    pub unused_grace: Time,
    /// How long a request must have been partial, or a connection idle after a single request,
    /// before the connection may be evicted.
    pub partial_grace: Time,
    /// After the output has ended: how long to wait for further input or the end of the connection.
    pub linger: Time,
    /// After the output has ended: how long input is read and dropped at most.
    pub max_linger: Time,
    /// The backoff after descriptors ran out in accepting connections.
    pub accept_backoff: Time,
    /// The timeout of a discovery call. A change must be known 6 s after discovery has it. A watch
    /// time-out, the wait for the next call, the time-out of that call and the wait after it must
    /// fit into that. With a shorter timeout a large fleet that calls at once rarely gets answers,
    /// as discovery works on calls that have been abandoned.
    pub discovery_timeout: Time,
    /// The timeout of a discovery call after a rejected one, when no change can have been missed
    /// yet. An overloaded discovery rejects calls after about 2 s; a call abandoned before that has
    /// cost it work for nothing.
    pub discovery_busy_timeout: Time,
    /// The timeout of a watch without input; discovery sends an empty line every 2 s.
    pub watch_timeout: Time,
    /// Subtracted from the client timeout that is passed to the dispatcher.
    pub client_timeout_margin: Time,
    /// How long before the client's timeout an open query is failed.
    pub answer_margin: Time,
    /// How long attempts may still be sent to a draining host.
    pub drain_grace: Time,
    /// After SIGTERM: how long connections are accepted and kept open.
    pub keep_serving: Time,
    /// The last part of `keep_serving`, in which connections are closed after their next answer.
    pub close_after_answer: Time,
    /// After SIGTERM: when open queries are failed and the process ends.
    pub shutdown_deadline: Time,
    /// The time limit for writing the last snapshot of the learned state at shutdown.
    pub final_snapshot_timeout: Time,
    /// How long a start waits for discovery before it becomes ready with a persisted list.
    pub first_endpoints_timeout: Time,
    /// How long former classes can be used by name after new settings took effect.
    pub settings_overlap: Time,
    /// Classes, including former ones that open queries still belong to.
    pub classes: usize,
    /// Connections of operators. As many descriptors are reserved for them.
    pub admin_connections: usize,
    /// The time limit for receiving an operator's request.
    pub admin_read_timeout: Time,
    /// In a drain, the times from which on connections are closed after an answer, idle ones are
    /// closed, and partial requests are ended.
    pub drain_times: (Time, Time, Time),
    /// In a drain, the interval between sweeps for idle connections, and how long a connection must
    /// have been idle.
    pub drain_sweep: (Time, Time),
    /// How long the end of a host's exclusion is kept for the other process of an upgrade.
    pub exclusion_retention: Time,
    /// The interval at which the notes of the other process of an upgrade are read.
    pub handover_poll_interval: Time,
    /// Processes with the same name that can take part in a handover.
    pub handover_processes: usize,
    /// Rejection reasons that are counted separately.
    pub rejection_reasons: usize,
    /// The interval between log lines about the same rejection reason.
    pub rejection_log_interval: Time,
    /// Characters kept of a rejected request.
    pub rejection_example_chars: usize,
}

/// The defaults, before they are adjusted to the settings and to the machine.
const DEFAULTS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 64 << 10,
    frame_bytes: 128 << 10,
    watch_line_bytes: 256 << 10,
    query_depth: 16,
    ber_depth: 128,
    page_records: 200,
    part_records: 100,
    host_message_bytes: 1 << 20,
    sorted_reach: 2_000,
    local_sort: 200,
    operation_rounds: 12,
    part_exchanges: 24,
    scan_terms: 100,
    sort_keys: 4,
    facets: (8, 100),
    clauses: 64,
    result_sets: 32,
    all_sets: (10_000, 32 << 20),
    set_ttl: 300_000 * MS,
    removed_sets: 1_000,
    operations: 64,
    client_message_bytes: 256 << 10,
    output_bytes: 1 << 20,
    stalled_reader: 5_000 * MS,
    host_sets: (8, 60_000 * MS),
    host_backoff: (100 * MS, 5_000 * MS),
    capability_ttl: 600_000 * MS,
    abandoned_search_time: (300 * MS, 3_000 * MS),
    unbatched_queries: 4,
    turn_gap_step: MS / 5,
    max_turn_gap: 5 * MS,
    store_log: 256,
    store_keys: 1_024,
    store_sessions: 256,
    store_txn_keys: 256,
    store_calls: 256,
    store_history: 1_024,
    store_request_timeout: 3_000 * MS,
    store_heartbeat: 150 * MS,
    store_election: 600 * MS,
    store_retry: 100 * MS,
    recovery_retry: 200 * MS,
    store_log_interval: 30_000 * MS,
    audit_report_interval: 1_000 * MS,
    disk_full_backoff: 500 * MS,
    name_bytes: 256,
    call_bytes: 64 << 10,
    read_burst: 64 << 10,
    descriptors: 1024,
    clients: 512,
    single_request_clients: 85,
    sessions: 4096,
    host_links: 1024,
    connections_per_host: 4,
    host_sessions: 16,
    parts_per_connection: 32,
    queued_parts: 1024,
    recent_part_ids: 256,
    queued_probes: 16,
    hosts: 1_024,
    eviction_burst: 64,
    accept_burst: 64,
    connect: 250 * MS,
    host_idle: 22_500 * MS,
    link_unresponsive: 400 * MS,
    frame_read: 400 * MS,
    probe: 250 * MS,
    request_read: 2_200 * MS,
    client_idle: 15_000 * MS,
    single_request_idle: 2_000 * MS,
    session_idle: 120_000 * MS,
    unused_grace: 50 * MS,
    partial_grace: 150 * MS,
    linger: 500 * MS,
    max_linger: 5_000 * MS,
    accept_backoff: 5 * MS,
    discovery_timeout: 1_500 * MS,
    discovery_busy_timeout: 2_200 * MS,
    watch_timeout: 2_400 * MS,
    client_timeout_margin: 15 * MS,
    answer_margin: 8 * MS,
    drain_grace: 2_000 * MS,
    keep_serving: 900 * MS,
    close_after_answer: 500 * MS,
    shutdown_deadline: 3_300 * MS,
    final_snapshot_timeout: 90 * MS,
    first_endpoints_timeout: 1_500 * MS,
    settings_overlap: 1_250 * MS,
    classes: 64,
    admin_connections: 8,
    admin_read_timeout: 5_500 * MS,
    drain_times: (400 * MS, 800 * MS, 1_700 * MS),
    drain_sweep: (100 * MS, 150 * MS),
    exclusion_retention: 60_000 * MS,
    handover_poll_interval: 200 * MS,
    handover_processes: 8,
    rejection_reasons: 32,
    rejection_log_interval: 60_000 * MS,
    rejection_example_chars: 96,
};

impl Default for Limits {
    fn default() -> Self {
        DEFAULTS
    }
}

impl Limits {
    /// Converts milliseconds.
    pub fn ms(count: u64) -> Time {
        count.saturating_mul(MS)
    }

    /// Divides the descriptors among clients, index hosts and the program itself.
    pub fn with_descriptors(mut self, descriptors: usize) -> Self {
        self.descriptors = descriptors;
        let own = 16 + descriptors / 8;
        self.clients = descriptors.saturating_sub(own).clamp(4, 4096) * 3 / 4;
        // Reserve descriptors for two connections to discovery, for operators, listeners, signals
        // and files.
        self.host_links = descriptors
            .saturating_sub(self.clients + 24 + self.admin_connections)
            .max(4);
        // Clients together hold a third of the descriptors at most. A quarter of that may be idle
        // after a single request.
        self.single_request_clients = (descriptors / 12).max(4);
        self
    }

    /// Limits the memory that peers can make the program use. `memory_mb` is the total in MB.
    pub fn with_memory(mut self, memory_mb: usize) -> Self {
        let bytes = memory_mb << 20;
        // Half of the memory is for partial requests of clients, and an eighth for partial frames
        // of index hosts.
        self.read_burst = (bytes >> 11).clamp(8 << 10, self.read_burst);
        self.clients = self.clients.min((bytes / 2 / self.body_bytes).max(4));
        self.frame_bytes = (bytes >> 9).clamp(32 << 10, self.frame_bytes);
        self.queued_parts = (bytes >> 16).clamp(256, self.queued_parts);
        self
    }

    /// Divides the time between SIGTERM and SIGKILL, which follows 0.7 s after the longest deadline
    /// or later. Clients may have no other gatherer until one is back, so they are served for as
    /// long as a last query can still be answered; the dispatcher ends each query at the latency
    /// target of its class.
    pub fn with_shutdown(mut self, deadline: Time, latency_target: Time) -> Self {
        let kill = deadline.min(3_000 * MS) + 700 * MS;
        self.shutdown_deadline = kill.saturating_sub(100 * MS);
        self.keep_serving = self
            .keep_serving
            .max(kill.saturating_sub(latency_target + 400 * MS));
        // With short deadlines, too, a last query must be answered before SIGKILL. New connections
        // arrive for up to 0.4 s after SIGTERM.
        let latest = self
            .shutdown_deadline
            .saturating_sub(latency_target + 50 * MS)
            .max(450 * MS);
        self.keep_serving = self.keep_serving.min(latest);
        self
    }

    /// Sets the timeout for unresponsive connections from the lowest latency target.
    pub fn with_latency_target(mut self, latency_target: Time) -> Self {
        self.link_unresponsive = (latency_target / 4).clamp(50 * MS, self.link_unresponsive);
        self
    }

    /// Sets the idle timeout to three quarters of the host's own, so that no request is in transit
    /// when the host closes the connection.
    pub fn with_host_idle(mut self, host_limit: Time) -> Self {
        self.host_idle = host_limit / 4 * 3;
        self
    }
}

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/daemon.h"
#include "daemon/netaddr.h"

/** Sizes in bytes, limits, and times in milliseconds. */
#define LENGTH_PREFIX_BYTES  4
#define READ_BUF_BYTES	     65536
#define SEND_QUEUE_BYTES_MAX (4U << 20)
#define CONNECTIONS_MAX	     128
#define POLL_INTERVAL_MS     200
#define IDLE_TIMEOUT_MS	     30000
#define LISTEN_BACKLOG	     64

/** A frame to be sent. */
typedef struct {
	char addr[FFL_ADDR_BYTES]; /**< destination, "ip:port" */
	GByteArray *data;
} frame_t;

/** A connection to or from another entry host. */
typedef struct {
	int fd;
	char addr[FFL_ADDR_BYTES]; /**< empty if accepted from the other host */
	GByteArray *in;		   /**< received, not parsed yet */
	GByteArray *out;	   /**< queued, not sent yet */
	uint64_t last_used_ms;
	bool failed; /**< to be closed */
} conn_t;

struct ffld_peers {
	ffld_t *d;
	int listener;
	int wakeup;	   /**< eventfd, written when a frame is pushed */
	GPtrArray *conns;  /**< of conn_t */
	ffl_ring_t frames; /**< of frame_t, from the core thread */
	pthread_t thread;
	_Atomic bool stop;
};

static conn_t *conn_new(int fd, const char *addr);
static void conn_free(conn_t *conn);
static int open_listener(const char *addr);
static conn_t *connect_to(const char *addr);
static conn_t *find_or_connect(ffld_peers_t *p, const char *addr);
static void queue_frames(ffld_peers_t *p);
static void accept_conn(ffld_peers_t *p);
static void read_conn(ffld_peers_t *p, conn_t *conn);
static void write_conn(conn_t *conn);
static bool parse_frames(ffld_peers_t *p, conn_t *conn);
static void post_message(ffld_peers_t *p, const guint8 *data, guint32 size);
static void handle_ready(ffld_peers_t *p, struct pollfd *fds, guint n);
static void close_idle_conns(ffld_peers_t *p);
static void *peers_thread(void *arg);

static conn_t *conn_new(int fd, const char *addr)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->fd = fd;
	ffl_copy(conn->addr, sizeof(conn->addr), addr);
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	conn->last_used_ms = ffld_now_ms();
	return conn;
}

static void conn_free(conn_t *conn)
{
	close(conn->fd);
	g_byte_array_free(conn->in, TRUE);
	g_byte_array_free(conn->out, TRUE);
	g_free(conn);
}

static int open_listener(const char *addr)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd;

	if (!ffld_netaddr_parse(addr, &sa))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

static conn_t *connect_to(const char *addr)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd;

	if (!ffld_netaddr_parse(addr, &sa))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	return conn_new(fd, addr);
}

static conn_t *find_or_connect(ffld_peers_t *p, const char *addr)
{
	conn_t *conn;

	for (guint i = 0; i < p->conns->len; i++) {
		conn = g_ptr_array_index(p->conns, i);
		if (!conn->failed && strcmp(conn->addr, addr) == 0)
			return conn;
	}
	if (p->conns->len >= CONNECTIONS_MAX)
		return NULL;
	conn = connect_to(addr);
	if (conn)
		g_ptr_array_add(p->conns, conn);
	return conn;
}

/* Frames may be dropped: a sender that needs a reply repeats its request. */
static void queue_frames(ffld_peers_t *p)
{
	frame_t *frame;

	while ((frame = ffl_ring_pop(&p->frames, 0))) {
		conn_t *conn = find_or_connect(p, frame->addr);
		guint32 size = GUINT32_TO_BE(frame->data->len);

		if (conn &&
		    conn->out->len + frame->data->len < SEND_QUEUE_BYTES_MAX) {
			g_byte_array_append(conn->out, (guint8 *)&size,
					    LENGTH_PREFIX_BYTES);
			g_byte_array_append(conn->out, frame->data->data,
					    frame->data->len);
			conn->last_used_ms = ffld_now_ms();
		} else {
			ffl_counter_add(&p->d->counters, FFL_CTR_FRAMES_DROPPED,
					1);
		}
		g_byte_array_free(frame->data, TRUE);
		g_free(frame);
	}
}

static void accept_conn(ffld_peers_t *p)
{
	int fd = accept4(p->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return;
	if (p->conns->len >= CONNECTIONS_MAX) {
		close(fd);
		return;
	}
	g_ptr_array_add(p->conns, conn_new(fd, ""));
}

static void post_message(ffld_peers_t *p, const guint8 *data, guint32 size)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_PEER);
	ffl_bytes_t in = { data, size };

	if (ffl_peer_decode(in, &box->ev.peer, &box->arena) == FFL_OK) {
		ffld_post_event(p->d, box);
		return;
	}
	ffl_counter_add(&p->d->counters, FFL_CTR_FRAMES_DROPPED, 1);
	ffl_box_free(box);
}

/* Returns false on an invalid length prefix; frame boundaries are lost then. */
static bool parse_frames(ffld_peers_t *p, conn_t *conn)
{
	guint pos = 0;

	while (conn->in->len - pos >= LENGTH_PREFIX_BYTES) {
		guint32 size;

		memcpy(&size, conn->in->data + pos, LENGTH_PREFIX_BYTES);
		size = GUINT32_FROM_BE(size);
		if (size == 0 || size > FFL_FRAME_BYTES_MAX) {
			ffl_counter_add(&p->d->counters, FFL_CTR_FRAMES_DROPPED,
					1);
			return false;
		}
		if (conn->in->len - pos - LENGTH_PREFIX_BYTES < size)
			break;
		post_message(p, conn->in->data + pos + LENGTH_PREFIX_BYTES,
			     size);
		pos += LENGTH_PREFIX_BYTES + size;
	}
	if (pos)
		g_byte_array_remove_range(conn->in, 0, pos);
	return true;
}

static void read_conn(ffld_peers_t *p, conn_t *conn)
{
	guint8 buf[READ_BUF_BYTES];
	ssize_t n = recv(conn->fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		conn->failed = true;
		return;
	}
	conn->last_used_ms = ffld_now_ms();
	g_byte_array_append(conn->in, buf, (guint)n);
	if (!parse_frames(p, conn))
		conn->failed = true;
}

static void write_conn(conn_t *conn)
{
	ssize_t n =
		send(conn->fd, conn->out->data, conn->out->len, MSG_NOSIGNAL);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		conn->failed = true;
		return;
	}
	g_byte_array_remove_range(conn->out, 0, (guint)n);
}

static void handle_ready(ffld_peers_t *p, struct pollfd *fds, guint n)
{
	guint64 count;

	if (fds[0].revents)
		accept_conn(p);
	if (fds[1].revents && read(p->wakeup, &count, sizeof(count)) < 0)
		return;
	for (guint i = 0; i < n; i++) {
		conn_t *conn = g_ptr_array_index(p->conns, i);
		short revents = fds[i + 2].revents;

		if (revents & (POLLIN | POLLERR | POLLHUP))
			read_conn(p, conn);
		if (!conn->failed && (revents & POLLOUT))
			write_conn(conn);
	}
}

static void close_idle_conns(ffld_peers_t *p)
{
	uint64_t now = ffld_now_ms();

	for (guint i = p->conns->len; i-- > 0;) {
		conn_t *conn = g_ptr_array_index(p->conns, i);

		if (!conn->failed && now - conn->last_used_ms < IDLE_TIMEOUT_MS)
			continue;
		g_ptr_array_remove_index_fast(p->conns, i);
		conn_free(conn);
	}
}

static void *peers_thread(void *arg)
{
	struct pollfd fds[CONNECTIONS_MAX + 2];
	ffld_peers_t *p = arg;

	while (!atomic_load(&p->stop)) {
		guint n;

		queue_frames(p);
		n = p->conns->len;
		fds[0] = (struct pollfd){ .fd = p->listener, .events = POLLIN };
		fds[1] = (struct pollfd){ .fd = p->wakeup, .events = POLLIN };
		for (guint i = 0; i < n; i++) {
			conn_t *conn = g_ptr_array_index(p->conns, i);

			fds[i + 2].fd = conn->fd;
			fds[i + 2].events = POLLIN;
			fds[i + 2].revents = 0;
			if (conn->out->len)
				fds[i + 2].events |= POLLOUT;
		}
		if (poll(fds, n + 2, POLL_INTERVAL_MS) > 0)
			handle_ready(p, fds, n);
		close_idle_conns(p);
	}
	return NULL;
}

ffld_peers_t *ffld_peers_start(ffld_t *d)
{
	ffld_peers_t *p;
	int listener = open_listener(d->settings.peers);

	if (listener < 0)
		return NULL;
	p = g_new0(ffld_peers_t, 1);
	p->d = d;
	p->listener = listener;
	p->wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	p->conns = g_ptr_array_new();
	ffl_ring_init(&p->frames, FFLD_CALLS_MAX);
	pthread_create(&p->thread, NULL, peers_thread, p);
	return p;
}

void ffld_peers_stop(ffld_peers_t *p)
{
	frame_t *frame;

	atomic_store(&p->stop, true);
	pthread_join(p->thread, NULL);
	while ((frame = ffl_ring_pop(&p->frames, 0))) {
		g_byte_array_free(frame->data, TRUE);
		g_free(frame);
	}
	for (guint i = 0; i < p->conns->len; i++)
		conn_free(g_ptr_array_index(p->conns, i));
	g_ptr_array_free(p->conns, TRUE);
	close(p->listener);
	close(p->wakeup);
	ffl_ring_finish(&p->frames);
	g_free(p);
}

void ffld_peers_send(void *self, const ffl_act_peer_send_t *act)
{
	ffld_t *d = self;
	frame_t *frame = g_new0(frame_t, 1);
	guint64 one = 1;

	ffl_copy(frame->addr, sizeof(frame->addr), act->addr);
	frame->data = g_byte_array_new();
	g_byte_array_append(frame->data, act->frame.data,
			    (guint)act->frame.size_bytes);
	if (!ffl_ring_push(&d->peers->frames, frame)) {
		ffl_counter_add(&d->counters, FFL_CTR_FRAMES_DROPPED, 1);
		g_byte_array_free(frame->data, TRUE);
		g_free(frame);
		return;
	}
	if (write(d->peers->wakeup, &one, sizeof(one)) < 0)
		ffl_counter_add(&d->counters, FFL_CTR_RING_FULL, 1);
}

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>

#include "daemon/conn.h"

/** Interval between scans of the deadlines. */
#define SCAN_INTERVAL_NS 50000000
#define FD_DIR		 "/proc/self/fd"
/** Limits of the input discarded from a sender that was refused. */
#define LINGER_MS	 500
#define LINGER_BYTES_MAX 1048576
#define READ_BYTES	 16384

static bool is_socket_of(int fd, const struct mg_request_info *info);
static int find_fd(const struct mg_request_info *info);
static void unregister(ffld_conns_t *cs, ffld_conn_t *c);
static void shut_expired(ffld_conns_t *cs, uint64_t now_ms);
static void *deadline_thread(void *arg);

void ffld_conns_init(ffld_conns_t *cs, ffld_t *d)
{
	memset(cs, 0, sizeof(*cs));
	cs->d = d;
	pthread_mutex_init(&cs->lock, NULL);
	cs->open = g_hash_table_new(NULL, NULL);
	cs->by_addr =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pthread_create(&cs->thread, NULL, deadline_thread, cs);
}

void ffld_conns_finish(ffld_conns_t *cs)
{
	atomic_store(&cs->stop, true);
	pthread_join(cs->thread, NULL);
	g_hash_table_destroy(cs->open);
	g_hash_table_destroy(cs->by_addr);
	pthread_mutex_destroy(&cs->lock);
}

static bool is_socket_of(int fd, const struct mg_request_info *info)
{
	struct sockaddr_in peer = { 0 };
	struct sockaddr_in own = { 0 };
	socklen_t peer_len = sizeof(peer);
	socklen_t own_len = sizeof(own);
	char text[INET_ADDRSTRLEN];

	if (getpeername(fd, (struct sockaddr *)&peer, &peer_len) != 0 ||
	    peer.sin_family != AF_INET ||
	    ntohs(peer.sin_port) != info->remote_port)
		return false;
	if (getsockname(fd, (struct sockaddr *)&own, &own_len) != 0 ||
	    ntohs(own.sin_port) != info->server_port)
		return false;
	return inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text)) &&
	       strcmp(text, info->remote_addr) == 0;
}

/* CivetWeb does not expose a connection's socket, so it is searched for by its
 * remote and local address, once per connection. */
static int find_fd(const struct mg_request_info *info)
{
	DIR *dir = opendir(FD_DIR);
	struct dirent *entry;
	int found = -1;

	if (!dir)
		return -1;
	while (found < 0 && (entry = readdir(dir))) {
		int fd = (int)strtol(entry->d_name, NULL, 10);

		if (fd > 2 && is_socket_of(fd, info))
			found = fd;
	}
	closedir(dir);
	return found;
}

ffld_conn_t *ffld_conn_open(ffld_conns_t *cs)
{
	ffld_conn_t *c = g_new0(ffld_conn_t, 1);

	c->fd = -1;
	atomic_fetch_add(&cs->count, 1);
	return c;
}

void ffld_conn_register(ffld_conns_t *cs, ffld_conn_t *c,
			const struct mg_request_info *info)
{
	uint32_t n;

	if (c->registered)
		return;
	c->registered = true;
	c->fd = find_fd(info);
	g_snprintf(c->addr, sizeof(c->addr), "%.39s/%d", info->remote_addr,
		   info->server_port);
	c->deadline_ms = ffld_now_ms() + cs->d->settings.body_timeout_ms;
	pthread_mutex_lock(&cs->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(cs->by_addr, c->addr)) + 1;
	g_hash_table_insert(cs->by_addr, g_strdup(c->addr),
			    GUINT_TO_POINTER(n));
	c->over_limit = n > cs->d->settings.per_address;
	g_hash_table_add(cs->open, c);
	pthread_mutex_unlock(&cs->lock);
}

static void unregister(ffld_conns_t *cs, ffld_conn_t *c)
{
	uint32_t n;

	pthread_mutex_lock(&cs->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(cs->by_addr, c->addr));
	if (n > 1)
		g_hash_table_insert(cs->by_addr, g_strdup(c->addr),
				    GUINT_TO_POINTER(n - 1));
	else
		g_hash_table_remove(cs->by_addr, c->addr);
	g_hash_table_remove(cs->open, c);
	pthread_mutex_unlock(&cs->lock);
}

void ffld_conn_close(ffld_conns_t *cs, ffld_conn_t *c)
{
	if (c->registered)
		unregister(cs, c);
	else
		ffl_counter_add(&cs->d->counters, FFL_CTR_CONNECTIONS_UNUSED,
				1);
	atomic_fetch_sub(&cs->count, 1);
	g_free(c);
}

void ffld_conn_set_deadline(ffld_conns_t *cs, ffld_conn_t *c, uint32_t ms)
{
	pthread_mutex_lock(&cs->lock);
	c->deadline_ms = ffld_now_ms() + ms;
	pthread_mutex_unlock(&cs->lock);
}

bool ffld_conn_timed_out(ffld_conns_t *cs, ffld_conn_t *c)
{
	bool timed_out;

	pthread_mutex_lock(&cs->lock);
	timed_out = c->timed_out;
	pthread_mutex_unlock(&cs->lock);
	return timed_out;
}

/* The first deadline shuts reading only, so that a response can still tell the
 * sender why; the next one shuts both directions. */
static void shut_expired(ffld_conns_t *cs, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer key;

	pthread_mutex_lock(&cs->lock);
	g_hash_table_iter_init(&it, cs->open);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		ffld_conn_t *c = key;

		if (c->fd < 0 || now_ms < c->deadline_ms)
			continue;
		shutdown(c->fd, c->timed_out ? SHUT_RDWR : SHUT_RD);
		if (!c->timed_out)
			ffl_counter_add(&cs->d->counters,
					FFL_CTR_CONNECTIONS_CUT, 1);
		c->timed_out = true;
		c->deadline_ms = now_ms + cs->d->settings.body_timeout_ms;
	}
	pthread_mutex_unlock(&cs->lock);
}

static void *deadline_thread(void *arg)
{
	const struct timespec pause = { .tv_nsec = SCAN_INTERVAL_NS };
	ffld_conns_t *cs = arg;

	while (!atomic_load(&cs->stop)) {
		shut_expired(cs, ffld_now_ms());
		nanosleep(&pause, NULL);
	}
	return NULL;
}

ffld_conn_state_t ffld_conn_peek(const ffld_conn_t *c)
{
	char byte;
	ssize_t n;

	if (c->fd < 0)
		return FFLD_CONN_IDLE;
	n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		return FFLD_CONN_READABLE;
	if (n == 0)
		return FFLD_CONN_CLOSED;
	return errno == EAGAIN || errno == EINTR ? FFLD_CONN_IDLE
						 : FFLD_CONN_CLOSED;
}

size_t ffld_conn_readable_bytes(const ffld_conn_t *c)
{
	int n = 0;

	if (c->fd < 0 || ioctl(c->fd, FIONREAD, &n) != 0 || n < 0)
		return 0;
	return (size_t)n;
}

void ffld_conn_linger(const ffld_conn_t *c)
{
	uint64_t end_ms = ffld_now_ms() + LINGER_MS;
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	size_t discarded = 0;
	char buf[READ_BYTES];
	ssize_t n;

	if (c->fd < 0 || shutdown(c->fd, SHUT_WR) != 0)
		return;
	while (discarded < LINGER_BYTES_MAX && ffld_now_ms() < end_ms) {
		if (poll(&p, 1, (int)(end_ms - ffld_now_ms())) <= 0)
			return;
		n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n <= 0)
			return;
		discarded += (size_t)n;
	}
}

/**
 * @file sockets.c
 * @brief epoll for libcurl's multi interface.
 */
#include <errno.h>
#include <unistd.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>

#include "jobd/jobd.h"
#include "jobd/sockets.h"

/** Most sockets that one wait returns. */
#define READY_MAX 64
#define US_PER_MS 1000

static int watch_socket(CURL *easy, curl_socket_t fd, int events, void *user,
			void *assigned);
static int set_timer(CURLM *multi, long timeout_ms, void *user);
static void clear_wake(jobd_sockets_t *s);
static int wait_ready(jobd_sockets_t *s, uint32_t wait_ms,
		      struct epoll_event ready[READY_MAX]);
static int curl_events(uint32_t events);

/* Called by libcurl when it starts, changes or stops waiting on a socket. A
 * descriptor may have been closed and reused since the last call, so that
 * adding and modifying are both tried. */
static int watch_socket(CURL *easy, curl_socket_t fd, int events, void *user,
			void *assigned)
{
	jobd_sockets_t *s = user;
	struct epoll_event ev = { .data.fd = fd };

	if (events == CURL_POLL_REMOVE) {
		/* Fails if the socket is closed already, which removed it. */
		epoll_ctl(s->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (events & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (events & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(s->epoll_fd, assigned ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
		      &ev) == 0 ||
	    epoll_ctl(s->epoll_fd, assigned ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
		      &ev) == 0) {
		curl_multi_assign(s->multi, fd, s);
		return 0;
	}
	jobd_line("socket-unwatched", "-", g_strerror(errno));
	return -1;
}

static int set_timer(CURLM *multi, long timeout_ms, void *user)
{
	jobd_sockets_t *s = user;

	s->due_us = timeout_ms < 0 ? 0
				   : jobd_monotonic_us() +
					     (uint64_t)timeout_ms * US_PER_MS;
	return 0;
}

bool jobd_sockets_init(jobd_sockets_t *s, CURLM *multi)
{
	struct epoll_event ev = { .events = EPOLLIN };

	s->multi = multi;
	s->due_us = 0;
	atomic_init(&s->sleeping, false);
	s->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	s->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	ev.data.fd = s->wake_fd;
	if (s->epoll_fd < 0 || s->wake_fd < 0 ||
	    epoll_ctl(s->epoll_fd, EPOLL_CTL_ADD, s->wake_fd, &ev) != 0)
		return false;
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, s);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, s);
	return true;
}

void jobd_sockets_finish(jobd_sockets_t *s)
{
	close(s->epoll_fd);
	close(s->wake_fd);
}

void jobd_sockets_wake(jobd_sockets_t *s)
{
	uint64_t one = 1;

	if (!atomic_exchange(&s->sleeping, false))
		return;
	/* The counter cannot overflow: at most one write per wait. */
	if (write(s->wake_fd, &one, sizeof(one)) < 0)
		jobd_line("wake-failed", "-", g_strerror(errno));
}

static void clear_wake(jobd_sockets_t *s)
{
	uint64_t count;

	if (read(s->wake_fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		jobd_line("wake-failed", "-", g_strerror(errno));
}

/* Returns the number of sockets, or -1 if a signal came first: also one that
 * stopped the process, after which sockets may be ready that were not before.
 */
static int wait_ready(jobd_sockets_t *s, uint32_t wait_ms,
		      struct epoll_event ready[READY_MAX])
{
	uint64_t now_us = jobd_monotonic_us();
	int n;

	if (s->due_us) {
		uint64_t left_us = s->due_us - MIN(s->due_us, now_us);

		wait_ms = MIN(wait_ms, (uint32_t)((left_us + US_PER_MS - 1) /
						  US_PER_MS));
	}
	n = epoll_wait(s->epoll_fd, ready, READY_MAX, (int)wait_ms);
	atomic_store(&s->sleeping, false);
	return n;
}

static int curl_events(uint32_t events)
{
	int action = 0;

	if (events & (EPOLLIN | EPOLLHUP))
		action |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		action |= CURL_CSELECT_OUT;
	if (events & EPOLLERR)
		action |= CURL_CSELECT_ERR;
	return action;
}

bool jobd_sockets_poll(jobd_sockets_t *s, uint32_t wait_ms, uint64_t *since_us)
{
	struct epoll_event ready[READY_MAX];
	int n = wait_ready(s, wait_ms, ready);
	int running;

	*since_us = jobd_monotonic_us();

	for (int i = 0; i < n; i++) {
		if (ready[i].data.fd == s->wake_fd)
			clear_wake(s);
		else
			curl_multi_socket_action(s->multi, ready[i].data.fd,
						 curl_events(ready[i].events),
						 &running);
	}
	if (s->due_us && jobd_monotonic_us() >= s->due_us) {
		s->due_us = 0;
		curl_multi_socket_action(s->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	return n >= 0 && n < READY_MAX;
}

/**
 * @file sockets.h
 * @brief Drives a multi handle of libcurl with epoll.
 *
 * The cost of a poll depends on the number of ready sockets, not on the number
 * of open calls.
 */
#ifndef FFL_JOBD_SOCKETS_H
#define FFL_JOBD_SOCKETS_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <curl/curl.h>

/** Sockets of a multi handle; used by one thread, but for the wake-up. */
typedef struct {
	CURLM *multi;
	int epoll_fd;
	int wake_fd;	       /**< eventfd that ends a wait */
	uint64_t due_us;       /**< expiry of libcurl's timer; 0: not set */
	_Atomic bool sleeping; /**< true if a wake-up must write to wake_fd */
} jobd_sockets_t;

/** Attaches to a multi handle; returns false if a descriptor cannot be
 * created, with the reason in errno. */
bool jobd_sockets_init(jobd_sockets_t *s, CURLM *multi);
void jobd_sockets_finish(jobd_sockets_t *s);
/** Ends the current wait, or the next one; any thread may call it. */
void jobd_sockets_wake(jobd_sockets_t *s);
/**
 * Waits for ready sockets, libcurl's timer or a wake-up, and handles them.
 *
 * @param wait_ms longest wait
 * @param since_us set to the end of the wait, as of jobd_monotonic_us()
 * @return false if more sockets may be ready than were handled
 */
bool jobd_sockets_poll(jobd_sockets_t *s, uint32_t wait_ms, uint64_t *since_us);

#endif

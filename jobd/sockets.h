/**
 * @file sockets.h
 * @brief Drives a multi handle of libcurl by what its sockets are ready for.
 *
 * A look costs what has changed, however many calls are open.
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
	int wake_fd;
	uint64_t due_us;       /**< the library wants a look then; 0: not */
	_Atomic bool sleeping; /**< a wake-up has something to end */
} jobd_sockets_t;

/** Attaches to a multi handle; false where the system has no descriptors. */
bool jobd_sockets_init(jobd_sockets_t *s, CURLM *multi);
void jobd_sockets_finish(jobd_sockets_t *s);
/** Ends a wait of the thread, or the next one. Any thread may call it. */
void jobd_sockets_wake(jobd_sockets_t *s);
/**
 * Waits at most @p wait_ms, or until woken, and carries out what is ready.
 *
 * @param since_us when that began, in monotonic microseconds
 * @return whether nothing more was ready
 */
bool jobd_sockets_run(jobd_sockets_t *s, uint32_t wait_ms, uint64_t *since_us);

#endif

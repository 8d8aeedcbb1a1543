#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "fakes/fake_adviser.h"

void fake_adviser_init(fake_adviser_t *a)
{
	memset(a, 0, sizeof(*a));
	for (uint32_t i = 0; i < FAKE_ADVISER_HOSTS_MAX; i++)
		a->done_ms[i] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void fake_adviser_finish(fake_adviser_t *a)
{
	for (uint32_t i = 0; i < FAKE_ADVISER_HOSTS_MAX; i++)
		g_array_free(a->done_ms[i], TRUE);
}

bool fake_adviser_take(fake_adviser_t *a, uint32_t host, uint32_t workers,
		       uint64_t now_ms, uint64_t *done_ms)
{
	GArray *open = a->done_ms[host];
	uint64_t begin_ms;

	while (open->len && g_array_index(open, uint64_t, 0) <= now_ms)
		g_array_remove_index(open, 0);
	/* The first one is being done, the others wait. */
	if (open->len > FAKE_ADVISER_WAITING_MAX)
		return false;
	begin_ms = open->len ? g_array_index(open, uint64_t, open->len - 1)
			     : now_ms;
	*done_ms = begin_ms + a->times.call_ms +
		   (uint64_t)a->times.worker_ms * workers;
	g_array_append_val(open, *done_ms);
	return true;
}

uint64_t fake_adviser_busy_until_ms(const fake_adviser_t *a, uint32_t host)
{
	const GArray *open = a->done_ms[host];

	return open->len ? g_array_index(open, uint64_t, open->len - 1) : 0;
}

void fake_adviser_ticket(const char *step, const char *worker, int64_t born_ms,
			 uint64_t until_ms, char out[FFL_TICKET_BYTES])
{
	g_snprintf(out, FFL_TICKET_BYTES, "%s/%s/%" PRId64 "/%" PRIu64, step,
		   worker, born_ms, until_ms);
}

bool fake_adviser_accepts(const char *ticket, const char *task,
			  const char *worker, int64_t born_ms, uint64_t now_ms)
{
	const char *index = strrchr(task, '.');
	const char *until = ticket ? strrchr(ticket, '/') : NULL;
	char expected[FFL_TICKET_BYTES];
	char step[FFL_TASK_NAME_BYTES];
	uint64_t until_ms;

	if (!index || !until || sscanf(until, "/%" SCNu64, &until_ms) != 1)
		return false;
	g_snprintf(step, sizeof(step), "%.*s", (int)(index - task), task);
	fake_adviser_ticket(step, worker, born_ms, until_ms, expected);
	return strcmp(expected, ticket) == 0 && now_ms < until_ms;
}

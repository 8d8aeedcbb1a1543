/**
 * @file case.c
 * @brief A queue is given to another service while a job of it waits, and the
 * one minion of the service before is taken away.
 */
#include "standin-2.h"

#include <inttypes.h>
#include <string.h>

#define FIRST_MS  5000
#define SECOND_MS 3000
#define APPLY_MS  2600
#define LEAVE_MS  2700
#define FINISH_MS 14000
#define WATCH_MS  20000
/** Of RULES.md, LOST: nothing of a job runs for 3 s. */
#define IDLE_MAX_MS 3000

int main(int argc, char **argv)
{
	bool trouble = argc > 3 && argv[3][0] != '0';
	char answer[256];
	minion_t *m;
	job_t *first;
	job_t *j;

	if (argc < 4)
		return 2;
	for (int i = 0; i < 11; i++) {
		char rack[8];

		snprintf(rack, sizeof(rack), "r2-%d", 1 + i / 2);
		add_minion("a", rack, 8)->service = "pool-2";
	}
	m = add_minion("a", "r1-1", 8);
	begin_case(argv, 2);
	first = submit(0, "00000000000000a1", 1, 8, FIRST_MS, NULL,
		       ",\"estimate_ms\":5000");
	j = submit(1, "00000000000000a2", 1, 8, SECOND_MS, NULL,
		   ",\"estimate_ms\":3000");
	if (!first->accepted_ms || !j->accepted_ms)
		return 2;
	if (trouble) {
		stand.service = "pool-2";
		put_config(2, 1);
		sleep_ms(APPLY_MS);
		note("scale_in: %s, the one minion of pool, drains", m->id);
		pthread_mutex_lock(&stand.lock);
		m->draining = true;
		m->beat_ms = 0;
		pthread_mutex_unlock(&stand.lock);
		sleep_ms(LEAVE_MS);
		pthread_mutex_lock(&stand.lock);
		m->gone = true;
		pthread_mutex_unlock(&stand.lock);
		note("%s has left", m->id);
		if (!submit(0, "00000000000000a3", 1, 8, SECOND_MS, NULL,
			    ",\"estimate_ms\":3000")
			     ->accepted_ms)
			return 2;
	}
	sleep_ms(FINISH_MS);
	note("finish_s after the end of the traffic; %u%% of the GPUs in use",
	     gpus_used_percent());
	pthread_mutex_lock(&stand.lock);
	j->longest_idle_ms = 0;
	j->idle_since_ms = 0;
	pthread_mutex_unlock(&stand.lock);
	sleep_ms(WATCH_MS);
	for (uint32_t i = 0; i < stand.job_count; i++) {
		char path[64];
		int status;

		snprintf(path, sizeof(path), "/work/%s", stand.jobs[i].id);
		status = call(1, "GET", path, NULL, answer, sizeof(answer));
		note("GET %s: %d %s, %u starts", path, status, answer,
		     stand.jobs[i].starts);
	}
	note("nothing of job %s ran for up to %" PRIu64 " ms, with %u%% of the "
	     "GPUs in use",
	     j->id, j->longest_idle_ms, gpus_used_percent());
	note("LOST %s",
	     j->longest_idle_ms >= IDLE_MAX_MS ? "is broken" : "holds");
	return j->longest_idle_ms >= IDLE_MAX_MS;
}

/**
 * @file case.c
 * @brief How many jobs a queue is said to hold that have not begun, while their
 * minion refuses every start.
 */
#include "standin-2.h"

#include <stdlib.h>
#include <string.h>

#define JOBS 1
/** How long the minion is unhealthy; of the site's srv_grey. */
#define GREY_MS 6500
/** Of RULES.md, MIXED: accepted over visible_ms + 2 s before. */
#define OLD_MS	5000
#define MORE_MS 2000

int main(int argc, char **argv)
{
	bool trouble = argc > 3 && argv[3][0] != '0';
	static const char more[] =
		",\"required_label\":\"b\",\"estimate_ms\":20000";
	uint32_t wrong = 0;
	uint32_t asked = 0;
	uint64_t until;
	minion_t *m;

	if (argc < 4)
		return 2;
	for (int i = 0; i < 11; i++) {
		char rack[8];

		snprintf(rack, sizeof(rack), "r1-%d", 1 + i / 2);
		add_minion("a", rack, 8);
	}
	m = add_minion("b", "r1-6", 8);
	begin_case(argv, 2);
	until = steady_ms() + GREY_MS;
	if (trouble) {
		note("srv_grey: %s answers 503 for %d ms", m->id, GREY_MS);
		pthread_mutex_lock(&stand.lock);
		m->busy_until_ms = until;
		pthread_mutex_unlock(&stand.lock);
	}
	for (uint32_t i = 0; i < JOBS; i++) {
		char id[17];

		snprintf(id, sizeof(id), "00000000000000a%u", i + 1);
		if (!submit(i % 2, id, 1, 1, 20000, NULL, more)->accepted_ms)
			return 2;
	}
	until += trouble ? 0 : MORE_MS;
	while (steady_ms() < until) {
		for (uint32_t h = 0; h < 2; h++) {
			uint64_t now = steady_ms();
			uint32_t waiting = 0;
			char answer[256];
			const char *p;
			int status;

			/* It may be 2 s old, so jobs count that were accepted
			 * that long before. */
			pthread_mutex_lock(&stand.lock);
			for (uint32_t i = 0; i < JOBS; i++)
				waiting += now - stand.jobs[i].accepted_ms >
						   OLD_MS &&
					   !stand.jobs[i].first_start_ms;
			pthread_mutex_unlock(&stand.lock);
			status = call(h, "GET", "/work/", NULL, answer,
				      sizeof(answer));
			p = strstr(answer, "\"pending\":");
			if (status != 200 || !p || !waiting)
				continue;
			asked++;
			note("GET /work/ at host %u: %s; %u jobs have waited "
			     "for over 5 s, none of them has begun",
			     h + 1, answer, waiting);
			wrong += 2 * strtoul(p + 10, NULL, 10) < waiting;
		}
		sleep_ms(200);
	}
	note("%u answers, %u of them under half of what waits; MIXED %s", asked,
	     wrong, wrong ? "is broken" : "holds");
	return wrong != 0;
}

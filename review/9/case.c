/**
 * @file case.c
 * @brief A start that gets no answer is carried out late, by the minion's next
 * life, while its region is cut off.
 */
#include "standin-2.h"

#include <string.h>

/** How late the start is carried out; of applied_late, 2 to 12 s. */
#define LATE_MS 4000
/** How long the region is cut off. */
#define CUT_MS	 9000
#define WORK_MS	 7000
#define WATCH_MS 25000

static bool armed;
static bool struck;

/* Takes the next start at a minion of the other region. */
static bool take_late(minion_t *m, const char *task)
{
	uint64_t now = steady_ms();

	if (!armed || struck || strcmp(m->zone, "south") != 0)
		return false;
	struck = true;
	note("%s: start of %s: no answer, to be carried out %d ms later",
	     m->id, task, LATE_MS);
	m->late_ms = now + LATE_MS;
	restart_minion(m);
	note("region south is cut off for %d ms", CUT_MS);
	for (uint32_t i = 0; i < stand.minion_count; i++) {
		if (strcmp(stand.minions[i].zone, "south") == 0)
			stand.minions[i].cut_until_ms = now + CUT_MS;
	}
	return true;
}

int main(int argc, char **argv)
{
	static const char more[] = ",\"estimate_ms\":7000";
	bool trouble = argc > 3 && argv[3][0] != '0';

	if (argc < 4)
		return 2;
	for (int i = 0; i < 12; i++) {
		char rack[8];
		minion_t *m;

		snprintf(rack, sizeof(rack), "r1-%d", 1 + i / 2);
		m = add_minion("a", rack, 8);
		if (i >= 10)
			snprintf(m->zone, sizeof(m->zone), "south");
	}
	stand.on_start = take_late;
	begin_case(argv, 2);
	/* Both minions of region south have been at work before. */
	if (!submit(0, "00000000000000a1", 2, 8, 1000, "r1-6", more)
		     ->accepted_ms)
		return 2;
	sleep_ms(4000);
	pthread_mutex_lock(&stand.lock);
	armed = trouble;
	pthread_mutex_unlock(&stand.lock);
	if (!submit(1, "00000000000000a2", 1, 8, WORK_MS, "r1-6", more)
		     ->accepted_ms)
		return 2;
	sleep_ms(WATCH_MS);
	note("%u starts beside a run of the same work item, %u after an end "
	     "that was taken note of",
	     stand.beside, stand.after_done);
	note("TWICE %s",
	     stand.beside || stand.after_done ? "is broken" : "holds");
	if (trouble && !struck)
		return 2;
	return stand.beside || stand.after_done;
}

/**
 * @file case.c
 * @brief A work item that lasts fails soon after it was restarted, on the one
 * minion that has its label.
 */
#include "standin-2.h"

#include <inttypes.h>

/** After these times the first run and the second one end `failed`. */
#define FIRST_FAILS_MS	8000
#define SECOND_FAILS_MS 200
#define BEFORE_MS	7000
#define WATCH_MS	25000
/** Of RULES.md, LOST: 6 s after its last run, nothing of it runs for 3 s. */
#define IDLE_MAX_MS 9000

int main(int argc, char **argv)
{
	bool trouble = argc > 3 && argv[3][0] != '0';
	const uint32_t sound[4] = { 0 };
	const uint32_t fails[4] = { FIRST_FAILS_MS, SECOND_FAILS_MS };
	job_t *j;

	if (argc < 4)
		return 2;
	stand.attempts_max = 2;
	for (int i = 0; i < 11; i++) {
		char rack[8];

		snprintf(rack, sizeof(rack), "r1-%d", 1 + i / 2);
		add_minion("a", rack, 8);
	}
	add_minion("b", "r1-6", 8);
	begin_case(argv, 2);
	j = submit_failing(0, "00000000000000a1",
			   ",\"required_label\":\"b\",\"long_running\":true",
			   trouble ? fails : sound);
	if (!j->accepted_ms)
		return 2;
	sleep_ms(BEFORE_MS);
	j->longest_idle_ms = 0;
	sleep_ms(WATCH_MS);
	note("job %s: %u starts; nothing of it ran for up to %" PRIu64
	     " ms; %u%% of the GPUs are in use, of its minion 1 of 8",
	     j->id, j->starts, j->longest_idle_ms, gpus_used_percent());
	note("LOST %s",
	     j->longest_idle_ms >= IDLE_MAX_MS ? "is broken" : "holds");
	return j->longest_idle_ms >= IDLE_MAX_MS;
}

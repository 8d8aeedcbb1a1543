#include <stdio.h>

#include "jobd/jobd.h"

#define ROW(section, key, type, member, min, max, def, text)                \
	{                                                                   \
		section, key, type, offsetof(jobd_settings_t, member), min, \
			max, def, false, text                               \
	}

static const ffl_setting_t rows[] = {
	ROW("host", "name", FFL_SET_NAME, name, 0, 0, NULL,
	    "name of this entry host"),
	ROW("host", "data_centre", FFL_SET_NAME, data_centre, 0, 0, NULL,
	    "data centre that the host is in"),
	ROW("host", "region", FFL_SET_NAME, region, 0, 0, NULL,
	    "region that the host is in"),
	ROW("host", "processor", FFL_SET_CORES, processor_milli, 1, 1000,
	    "1core", "share of each core that the host has"),
	ROW("host", "cores", FFL_SET_COUNT, cores, 1, 4096, "1",
	    "cores that the host has"),
	ROW("listen", "callers", FFL_SET_ADDRESS, callers, 0, 0, NULL,
	    "address for callers"),
	ROW("listen", "ready", FFL_SET_ADDRESS, ready, 0, 0, NULL,
	    "address for looks at readiness"),
	ROW("listen", "metrics", FFL_SET_ADDRESS, metrics, 0, 0, NULL,
	    "address for metrics, under /metrics"),
	ROW("listen", "threads", FFL_SET_COUNT, threads, 4, 1024, "32",
	    "calls that are served at once"),
	ROW("listen", "body", FFL_SET_SIZE, body_bytes, 1024, 1U << 26, "256KB",
	    "largest body of a call"),
	ROW("log", "address", FFL_SET_ADDRESS, log_addr, 0, 0, NULL,
	    "address of the platform's log"),
	ROW("adviser", "address", FFL_SET_ADDRESS, adviser_addr, 0, 0, "",
	    "address of the service that says which workers may run a step"),
	ROW("lines", "per_second", FFL_SET_COUNT, lines_per_s, 1, 100000, "400",
	    "lines of the host's own log that a second may have"),
	ROW("bounds", "lease_max", FFL_SET_DURATION, lease_max_ms, 500, 3600000,
	    "10s", "longest lease that a worker grants"),
	ROW("bounds", "stop_max", FFL_SET_DURATION, stop_max_ms, 1, 600000,
	    "400ms", "longest time that a stop of a task takes"),
	ROW("bounds", "gang_wait", FFL_SET_DURATION, gang_wait_ms, 1, 600000,
	    "3s", "time for which a part of a gang waits for the rest"),
	ROW("bounds", "reclaim", FFL_SET_DURATION, reclaim_ms, 1, 600000,
	    "2900ms", "time in which guaranteed work has begun"),
	ROW("bounds", "heartbeat", FFL_SET_DURATION, heartbeat_ms, 10, 600000,
	    "1500ms", "time between two reports of a worker to the list"),
	ROW("bounds", "early", FFL_SET_DURATION, early_ms, 0, 600000, "250ms",
	    "time by which a start may be before its due time"),
	ROW("bounds", "far_second", FFL_SET_DURATION, far_second_ms, 1000,
	    600000, "3s", "time that a second's work takes on a far rack"),
	ROW("bounds", "config_apply", FFL_SET_DURATION, config_apply_ms, 1,
	    600000, "2500ms", "time in which a configuration is in force"),
	ROW("bounds", "config_skew", FFL_SET_DURATION, config_skew_ms, 0,
	    600000, "5s", "more of it, while the log is unsteady"),
	ROW("bounds", "keep_ended", FFL_SET_DURATION, keep_ended_ms, 0,
	    86400000, "120s", "time for which an ended job is shown"),
	ROW("bounds", "grace", FFL_SET_DURATION, grace_ms, 100, 600000, "6s",
	    "time from the request to stop until the kill"),
};

const ffl_setting_table_t jobd_setting_table = { rows, G_N_ELEMENTS(rows),
						 sizeof(jobd_settings_t) };

ffl_status_t jobd_settings_read(const char *path, jobd_settings_t *out)
{
	GString *text = g_string_new(NULL);
	ffl_findings_t fs;
	ffl_status_t status;

	ffl_findings_init(&fs, path);
	status = ffl_settings_load_table(&jobd_setting_table, path, out, &fs);
	for (uint32_t i = 0; i < ffl_findings_count(&fs); i++) {
		ffl_finding_format(ffl_findings_at(&fs, i), text);
		g_string_append_c(text, '\n');
	}
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
	ffl_findings_finish(&fs);
	return status;
}

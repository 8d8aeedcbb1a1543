/**
 * @file settings.c
 * @brief Keys of the settings file of ffl-jobd.
 */
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
	    "1core", "share of each core that the host may use"),
	ROW("host", "cores", FFL_SET_COUNT, cores, 1, 4096, "1",
	    "number of cores of the host"),
	ROW("host", "link", FFL_SET_RATE, link_kbit, 1, UINT32_MAX, "1000Mbit",
	    "rate of the host's own link"),
	ROW("listen", "callers", FFL_SET_ADDRESS, callers_addr, 0, 0, NULL,
	    "address on which callers are served"),
	ROW("listen", "ready", FFL_SET_ADDRESS, ready_addr, 0, 0, NULL,
	    "address of the readiness probe"),
	ROW("listen", "metrics", FFL_SET_ADDRESS, metrics_addr, 0, 0, NULL,
	    "address of the metrics, at /metrics"),
	ROW("listen", "threads", FFL_SET_COUNT, threads, 4, 1024, "32",
	    "callers' requests that are served concurrently"),
	ROW("listen", "body", FFL_SET_SIZE, body_bytes, 1024, 1U << 26, "256KB",
	    "largest body of a caller's request"),
	ROW("log", "address", FFL_SET_ADDRESS, log_addr, 0, 0, NULL,
	    "address of the platform's log"),
	ROW("log", "record", FFL_SET_SIZE, record_bytes, 1024, 1U << 30,
	    "256KB", "largest record that the log takes"),
	ROW("log", "append", FFL_SET_SIZE, append_bytes, 4096, 1U << 30, "2MB",
	    "largest append that the log takes"),
	ROW("log", "partitions", FFL_SET_COUNT, partitions, 1, 1000000, "1",
	    "partitions that a topic of the log has"),
	ROW("adviser", "address", FFL_SET_ADDRESS, adviser_addr, 0, 0, "",
	    "address of the service that says which workers may run a step"),
	ROW("lines", "per_second", FFL_SET_COUNT, lines_per_s, 1, 100000, "400",
	    "most lines per second in the host's own log"),
	ROW("bounds", "lease_max", FFL_SET_DURATION, lease_max_ms, 500, 3600000,
	    "10s", "longest lease that workers grant"),
	ROW("bounds", "order_late_max", FFL_SET_DURATION, order_late_max_ms, 0,
	    3600000, "12s",
	    "longest delay of an order that a worker leaves unanswered"),
	ROW("bounds", "stop_max", FFL_SET_DURATION, stop_max_ms, 1, 600000,
	    "400ms", "longest time that a worker takes to stop a task"),
	ROW("bounds", "gang_wait", FFL_SET_DURATION, gang_wait_ms, 1, 600000,
	    "3s", "time that tasks of a gang wait for the others"),
	ROW("bounds", "reclaim", FFL_SET_DURATION, reclaim_ms, 1, 600000,
	    "2900ms", "time within which guaranteed work starts"),
	ROW("bounds", "heartbeat", FFL_SET_DURATION, heartbeat_ms, 10, 600000,
	    "1500ms", "interval of a worker's heartbeats to the list"),
	ROW("bounds", "early", FFL_SET_DURATION, early_start_ms, 0, 600000,
	    "250ms", "longest time that a run may start before it is due"),
	ROW("bounds", "far_second", FFL_SET_DURATION, cross_rack_second_ms,
	    1000, 600000, "3s",
	    "duration of one second of work on a remote rack"),
	ROW("bounds", "config_apply", FFL_SET_DURATION, config_apply_ms, 1,
	    600000, "2500ms", "time within which a configuration takes effect"),
	ROW("bounds", "config_skew", FFL_SET_DURATION, config_skew_ms, 0,
	    600000, "5s",
	    "extension of config_apply while the log is unstable"),
	ROW("bounds", "evacuate", FFL_SET_DURATION, evacuate_ms, 200, 600000,
	    "5s",
	    "time after which nothing is started in an evacuated data centre"),
	ROW("bounds", "keep_ended", FFL_SET_DURATION, keep_ended_ms, 0,
	    86400000, "120s", "retention period of ended jobs"),
	ROW("bounds", "grace", FFL_SET_DURATION, grace_ms, 100, 600000, "6s",
	    "time between SIGTERM and SIGKILL"),
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

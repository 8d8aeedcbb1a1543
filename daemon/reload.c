#include <string.h>

#include "daemon/daemon.h"

static void apply_live(ffl_settings_t *in_force, const ffl_settings_t *loaded);
static void warn_restart_needed(const ffl_settings_t *in_force,
				const ffl_settings_t *loaded);
static size_t value_bytes(const ffl_setting_t *s);

static size_t value_bytes(const ffl_setting_t *s)
{
	static const size_t bytes[FFL_SET__MAX] = {
		[FFL_SET_NAME] = FFL_NAME_BYTES,
		[FFL_SET_ADDRESS] = FFL_ADDR_BYTES,
		[FFL_SET_URL] = FFL_URL_BYTES,
		[FFL_SET_HASH] = FFL_HEX_BYTES,
		[FFL_SET_COUNT] = sizeof(uint32_t),
		[FFL_SET_DURATION] = sizeof(uint32_t),
		[FFL_SET_SIZE] = sizeof(uint32_t),
		[FFL_SET_CORES] = sizeof(uint32_t),
		[FFL_SET_RATE] = sizeof(uint32_t),
	};

	return bytes[s->type];
}

ffl_status_t ffld_settings_read(const char *path, ffl_settings_t *out,
				GString *findings)
{
	ffl_findings_t fs;
	ffl_status_t status;

	ffl_findings_init(&fs, path);
	status = ffl_settings_load(path, out, &fs);
	for (uint32_t i = 0; i < ffl_findings_count(&fs); i++) {
		ffl_finding_format(ffl_findings_at(&fs, i), findings);
		g_string_append_c(findings, '\n');
	}
	ffl_findings_finish(&fs);
	return status;
}

/* Each live setting is one aligned 32-bit word, stored atomically because other
 * threads read it at any time. */
static void apply_live(ffl_settings_t *in_force, const ffl_settings_t *loaded)
{
	for (uint32_t i = 0; i < ffl_settings_count(); i++) {
		const ffl_setting_t *s = ffl_settings_at(i);
		uint32_t *to = (uint32_t *)((char *)in_force + s->offset);
		const uint32_t *from =
			(const uint32_t *)((const char *)loaded + s->offset);

		if (s->reloadable)
			__atomic_store_n(to, *from, __ATOMIC_RELAXED);
	}
}

/* Logs each changed setting that needs a restart; its value stays in force. */
static void warn_restart_needed(const ffl_settings_t *in_force,
				const ffl_settings_t *loaded)
{
	for (uint32_t i = 0; i < ffl_settings_count(); i++) {
		const ffl_setting_t *s = ffl_settings_at(i);

		if (!s->reloadable && memcmp((const char *)in_force + s->offset,
					     (const char *)loaded + s->offset,
					     value_bytes(s)) != 0)
			ffld_log(FFL_LEVEL_WARNING, "setting-needs-restart",
				 s->key,
				 "changed in the file; takes effect after a "
				 "restart");
	}
}

void ffld_reload(ffld_t *d)
{
	GString *findings = g_string_new(NULL);
	ffl_settings_t loaded;
	ffl_ev_settings_t *ev;
	ffl_box_t *box;

	if (ffld_settings_read(d->settings_path, &loaded, findings) != FFL_OK) {
		ffld_log(FFL_LEVEL_ERROR, "settings-refused", d->settings_path,
			 findings->str);
		g_string_free(findings, TRUE);
		return;
	}
	g_string_free(findings, TRUE);
	warn_restart_needed(&d->settings, &loaded);
	apply_live(&d->settings, &loaded);
	box = ffl_box_new(FFL_EV_SETTINGS);
	ev = &box->ev.settings;
	ev->queue_max = ffld_queue_max(&d->settings);
	ev->timeout_ms = loaded.timeout_ms;
	ev->max_timeout_ms = loaded.max_timeout_ms;
	ev->attempts_max = loaded.attempts_max;
	ev->eject_failures = loaded.eject_failures;
	ev->eject_ms = loaded.eject_ms;
	ev->stop_delay_ms = loaded.stop_delay_ms;
	ev->stop_drain_ms = loaded.stop_drain_ms;
	ffld_post_event_wait(d, box);
}

uint32_t ffld_queue_max(const ffl_settings_t *s)
{
	return MIN(s->queue_max, s->threads - s->threads / 8);
}

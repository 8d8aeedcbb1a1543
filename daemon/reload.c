#include <string.h>

#include "daemon/daemon.h"

static void take_live(ffl_settings_t *now, const ffl_settings_t *fresh);
static void tell_fixed(const ffl_settings_t *now, const ffl_settings_t *fresh);
static size_t size_of(const ffl_setting_t *s);

static size_t size_of(const ffl_setting_t *s)
{
	static const size_t sizes[FFL_SET__MAX] = {
		[FFL_SET_NAME] = FFL_NAME_BYTES,
		[FFL_SET_ADDRESS] = FFL_ADDR_BYTES,
		[FFL_SET_URL] = FFL_URL_BYTES,
		[FFL_SET_HASH] = FFL_HEX_BYTES,
		[FFL_SET_COUNT] = sizeof(uint32_t),
		[FFL_SET_DURATION] = sizeof(uint32_t),
		[FFL_SET_SIZE] = sizeof(uint32_t),
		[FFL_SET_CORES] = sizeof(uint32_t),
	};

	return sizes[s->type];
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

/* Each live value is one aligned word, which other threads may read. */
static void take_live(ffl_settings_t *now, const ffl_settings_t *fresh)
{
	for (uint32_t i = 0; i < ffl_settings_count(); i++) {
		const ffl_setting_t *s = ffl_settings_at(i);
		uint32_t *to = (uint32_t *)((char *)now + s->offset);
		const uint32_t *from =
			(const uint32_t *)((const char *)fresh + s->offset);

		if (s->reloadable)
			__atomic_store_n(to, *from, __ATOMIC_RELAXED);
	}
}

/* A value that needs a restart is told and left as it is. */
static void tell_fixed(const ffl_settings_t *now, const ffl_settings_t *fresh)
{
	for (uint32_t i = 0; i < ffl_settings_count(); i++) {
		const ffl_setting_t *s = ffl_settings_at(i);

		if (!s->reloadable &&
		    memcmp((const char *)now + s->offset,
			   (const char *)fresh + s->offset, size_of(s)) != 0)
			ffld_log(FFL_LEVEL_WARNING, "setting-needs-restart",
				 s->key, "the new value is not in force");
	}
}

void ffld_reload(ffld_t *d)
{
	GString *findings = g_string_new(NULL);
	ffl_settings_t fresh;
	ffl_ev_settings_t *ev;
	ffl_box_t *box;

	if (ffld_settings_read(d->settings_path, &fresh, findings) != FFL_OK) {
		ffld_log(FFL_LEVEL_ERROR, "settings-refused", d->settings_path,
			 findings->str);
		g_string_free(findings, TRUE);
		return;
	}
	g_string_free(findings, TRUE);
	tell_fixed(&d->settings, &fresh);
	take_live(&d->settings, &fresh);
	box = ffl_box_new(FFL_EV_SETTINGS);
	ev = &box->ev.settings;
	ev->queue_max = ffld_queue_max(&d->settings);
	ev->timeout_ms = fresh.timeout_ms;
	ev->max_timeout_ms = fresh.max_timeout_ms;
	ev->attempts_max = fresh.attempts_max;
	ev->eject_failures = fresh.eject_failures;
	ev->eject_ms = fresh.eject_ms;
	ev->stop_delay_ms = fresh.stop_delay_ms;
	ev->stop_drain_ms = fresh.stop_drain_ms;
	ffld_post_sure(d, box);
}

uint32_t ffld_queue_max(const ffl_settings_t *s)
{
	return MIN(s->queue_max, s->threads - s->threads / 8);
}

/**
 * @file hostlist.c
 * @brief Local copy of the host list: full lists, deltas and polling.
 */
#include <string.h>

#include "fireflyledge/hostlist.h"

static gint compare_infos(gconstpointer a, gconstpointer b);
static bool find_host(const ffl_hostlist_t *hl, const char *name, guint *index);
static void insert_or_replace(ffl_hostlist_t *hl, const ffl_host_info_t *info);
static void replace_all(ffl_hostlist_t *hl, const ffl_host_list_t *in);
static void apply_delta(ffl_hostlist_t *hl, const ffl_host_list_t *in);

void ffl_hostlist_init(ffl_hostlist_t *hl, uint32_t poll_ms)
{
	memset(hl, 0, sizeof(*hl));
	hl->poll_ms = poll_ms;
	hl->infos = g_array_new(FALSE, TRUE, sizeof(ffl_host_info_t));
}

void ffl_hostlist_finish(ffl_hostlist_t *hl)
{
	g_array_free(hl->infos, TRUE);
}

static gint compare_infos(gconstpointer a, gconstpointer b)
{
	return strcmp(((const ffl_host_info_t *)a)->name,
		      ((const ffl_host_info_t *)b)->name);
}

static bool find_host(const ffl_hostlist_t *hl, const char *name, guint *index)
{
	ffl_host_info_t probe;

	ffl_copy(probe.name, sizeof(probe.name), name);
	return g_array_binary_search(hl->infos, &probe, compare_infos, index);
}

static void insert_or_replace(ffl_hostlist_t *hl, const ffl_host_info_t *info)
{
	guint i;

	if (find_host(hl, info->name, &i)) {
		g_array_index(hl->infos, ffl_host_info_t, i) = *info;
		return;
	}
	for (i = hl->infos->len; i > 0; i--) {
		if (strcmp(g_array_index(hl->infos, ffl_host_info_t, i - 1)
				   .name,
			   info->name) < 0)
			break;
	}
	g_array_insert_val(hl->infos, i, *info);
}

static void replace_all(ffl_hostlist_t *hl, const ffl_host_list_t *in)
{
	g_array_set_size(hl->infos, 0);
	if (in->hosts.count)
		g_array_append_vals(hl->infos, in->hosts.items,
				    in->hosts.count);
	g_array_sort(hl->infos, compare_infos);
}

static void apply_delta(ffl_hostlist_t *hl, const ffl_host_list_t *in)
{
	const ffl_host_info_t *infos = in->hosts.items;
	const ffl_host_gone_t *gone = in->gone.items;
	guint index;

	for (uint32_t i = 0; i < in->gone.count; i++) {
		if (find_host(hl, gone[i].name, &index))
			g_array_remove_index(hl->infos, index);
	}
	for (uint32_t i = 0; i < in->hosts.count; i++)
		insert_or_replace(hl, &infos[i]);
}

ffl_status_t ffl_hostlist_apply(ffl_hostlist_t *hl, const ffl_host_list_t *in,
				uint64_t now_ms, ffl_host_list_t *full)
{
	hl->next_read_ms = now_ms + hl->poll_ms;
	if (in->delta && (in->seed != hl->seed || in->version < hl->version)) {
		hl->seed = 0;
		hl->version = 0;
		return FFL_CONFLICT;
	}
	if (in->delta)
		apply_delta(hl, in);
	else
		replace_all(hl, in);
	hl->seed = in->seed;
	hl->version = in->version;
	memset(full, 0, sizeof(*full));
	full->hosts.items = hl->infos->data;
	full->hosts.count = hl->infos->len;
	full->seed = hl->seed;
	full->version = hl->version;
	return FFL_OK;
}

void ffl_hostlist_poll(ffl_hostlist_t *hl, uint64_t now_ms, ffl_actions_t *out)
{
	ffl_action_t *act;

	if (!hl->poll_ms || now_ms < hl->next_read_ms)
		return;
	act = ffl_actions_add(out, FFL_ACT_HOSTS_READ);
	act->hosts_read.seed = hl->seed;
	act->hosts_read.since = hl->version;
	hl->next_read_ms = now_ms + FFL_HOSTLIST_TIMEOUT_MS;
}

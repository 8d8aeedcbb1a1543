#include <string.h>

#include "fireflyledge/doubt.h"

const char *ffl_lease_basis_name(uint32_t basis)
{
	static const char *const names[FFL_LEASE__MAX] = {
		[FFL_LEASE_NONE] = "none",
		[FFL_LEASE_ORDER] = "order",
		[FFL_LEASE_RESTART] = "restart",
		[FFL_LEASE_CLAIM] = "claim",
		[FFL_LEASE_YOUNG] = "young",
		[FFL_LEASE_UNKNOWN_RUN] = "unknown-run",
	};

	return basis < FFL_LEASE__MAX ? names[basis] : "?";
}

void ffl_doubt_init(ffl_doubt_t *u)
{
	memset(u, 0, sizeof(*u));
	u->late_starts = g_array_new(FALSE, FALSE, sizeof(ffl_late_start_t));
}

void ffl_doubt_finish(ffl_doubt_t *u)
{
	g_array_free(u->late_starts, TRUE);
}

void ffl_doubt_claim(ffl_doubt_t *u, bool has_runs, uint64_t leases_end_ms)
{
	ffl_doubt_drop_leases(u);
	u->unheard = has_runs;
	if (has_runs)
		ffl_doubt_add_lease(u, leases_end_ms, FFL_LEASE_CLAIM);
}

void ffl_doubt_add_lease(ffl_doubt_t *u, uint64_t end_ms,
			 ffl_lease_basis_t basis)
{
	if (end_ms <= u->leases_end_ms)
		return;
	u->leases_end_ms = end_ms;
	u->leases_basis = basis;
}

void ffl_doubt_drop_leases(ffl_doubt_t *u)
{
	u->leases_end_ms = 0;
	u->leases_basis = FFL_LEASE_NONE;
}

void ffl_doubt_add_late_order(ffl_doubt_t *u, uint64_t late_ms)
{
	u->late_orders_ms = late_ms;
}

void ffl_doubt_add_late_start(ffl_doubt_t *u, const struct ffl_run *run,
			      int64_t born_ms, uint64_t late_ms)
{
	ffl_late_start_t start = { .run = run,
				   .born_ms = born_ms,
				   .late_ms = late_ms };

	ffl_doubt_add_late_order(u, late_ms);
	ffl_doubt_settle_start(u, run);
	g_array_append_val(u->late_starts, start);
}

const ffl_late_start_t *ffl_doubt_find_start(const ffl_doubt_t *u,
					     const struct ffl_run *run)
{
	for (guint i = 0; i < u->late_starts->len; i++) {
		const ffl_late_start_t *start =
			&g_array_index(u->late_starts, ffl_late_start_t, i);

		if (start->run == run)
			return start;
	}
	return NULL;
}

int64_t ffl_doubt_meant_for(const ffl_doubt_t *u)
{
	return u->late_starts->len
		       ? g_array_index(u->late_starts, ffl_late_start_t, 0)
				 .born_ms
		       : 0;
}

void ffl_doubt_settle_start(ffl_doubt_t *u, const struct ffl_run *run)
{
	for (guint i = u->late_starts->len; i-- > 0;) {
		if (g_array_index(u->late_starts, ffl_late_start_t, i).run ==
		    run)
			g_array_remove_index(u->late_starts, i);
	}
}

void ffl_doubt_settle_starts(ffl_doubt_t *u, uint64_t alive_ms)
{
	for (guint i = u->late_starts->len; i-- > 0;) {
		if (alive_ms >=
		    g_array_index(u->late_starts, ffl_late_start_t, i).late_ms)
			g_array_remove_index(u->late_starts, i);
	}
}

void ffl_doubt_note_heard(ffl_doubt_t *u)
{
	u->unheard = false;
}

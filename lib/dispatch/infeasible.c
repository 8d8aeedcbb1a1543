#include <string.h>

#include "lib/dispatch/dispatch_int.h"

static ffl_demand_t demand_of(const ffl_place_request_t *req);

static ffl_demand_t demand_of(const ffl_place_request_t *req)
{
	ffl_demand_t demand = { .resources = ffl_step_resources(req->step),
				.service = req->flow->spec.service,
				.label = req->step->label,
				.rack = req->step->rack,
				.tasks = req->step->gang ? req->step->tasks : 1,
				.guaranteed = req->guaranteed,
				.gang = req->step->gang,
				.one_rack = req->step->gang &&
					    req->step->same_rack &&
					    req->local_only };

	return demand;
}

/* A step that demands at least as much as one that could not be placed cannot
 * be placed either; this saves the search. */
bool ffl_is_infeasible(ffl_dispatch_t *d, const ffl_place_request_t *req)
{
	ffl_demand_t demand = demand_of(req);
	bool local = !ffl_allows_remote(d, req);
	bool one_rack = req->step->gang && req->step->same_rack && local;

	for (guint i = 0; i < d->infeasible->len; i++) {
		const ffl_demand_t *failed =
			&g_array_index(d->infeasible, ffl_demand_t, i);

		if (strcmp(failed->service, demand.service) == 0 &&
		    ffl_resources_fit(&demand.resources, &failed->resources) &&
		    demand.tasks >= failed->tasks &&
		    demand.gang == failed->gang &&
		    (one_rack || !failed->one_rack) &&
		    (failed->guaranteed || !demand.guaranteed) &&
		    (!failed->label[0] ||
		     strcmp(failed->label, demand.label) == 0) &&
		    (!failed->rack[0] ||
		     (local && strcmp(failed->rack, demand.rack) == 0)))
			return true;
	}
	return false;
}

void ffl_add_infeasible(ffl_dispatch_t *d, const ffl_place_request_t *req)
{
	ffl_demand_t demand = demand_of(req);

	/* These limits are not part of the demand. */
	if (req->step->per_worker_max || req->flow->spec.needs_tickets)
		return;
	if (!req->local_only)
		demand.rack = "";
	g_array_append_val(d->infeasible, demand);
}

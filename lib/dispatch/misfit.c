#include <string.h>

#include "lib/dispatch/dispatch_int.h"

static ffl_shape_t shape_of(const ffl_unit_t *unit);

static ffl_shape_t shape_of(const ffl_unit_t *unit)
{
	ffl_shape_t shape = { .resources = ffl_step_room(unit->step),
			      .label = unit->step->label,
			      .rack = unit->step->rack,
			      .tasks = unit->step->gang ? unit->step->tasks : 1,
			      .guaranteed = unit->guaranteed,
			      .gang = unit->step->gang,
			      .one_rack = unit->step->gang &&
					  unit->step->same_rack &&
					  unit->near_only };

	return shape;
}

/* What needs no less than something that found no room finds none. */
bool ffl_is_misfit(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	ffl_shape_t shape = shape_of(unit);
	bool one_rack = unit->step->gang && unit->step->same_rack &&
			!ffl_may_go_far(d, unit);

	for (guint i = 0; i < d->infeasible->len; i++) {
		const ffl_shape_t *m =
			&g_array_index(d->infeasible, ffl_shape_t, i);

		if (ffl_room_fits(&shape.resources, &m->resources) &&
		    shape.tasks >= m->tasks && shape.gang == m->gang &&
		    (one_rack || !m->one_rack) &&
		    (m->guaranteed || !shape.guaranteed) &&
		    (!m->label[0] || strcmp(m->label, shape.label) == 0) &&
		    (!m->rack[0] || strcmp(m->rack, shape.rack) == 0))
			return true;
	}
	return false;
}

void ffl_add_misfit(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	ffl_shape_t shape = shape_of(unit);

	if (unit->step->per_worker_max || unit->flow->spec.needs_tickets)
		return;
	if (!unit->near_only)
		shape.rack = "";
	g_array_append_val(d->infeasible, shape);
}

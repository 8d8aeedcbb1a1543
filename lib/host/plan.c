#include "fireflyledge/host.h"
#include "lib/host/host_int.h"

static void find_consequences(ffl_host_t *h, const ffl_intent_t *in,
			      ffl_findings_t *fs);

static void find_consequences(ffl_host_t *h, const ffl_intent_t *in,
			      ffl_findings_t *fs)
{
	if ((in->kind == FFL_INTENT_GUARANTEE ||
	     in->kind == FFL_INTENT_LIMIT) &&
	    !ffl_config_customer(&h->config, in->name))
		ffl_findings_add(fs, FFL_MSG_UNKNOWN_CUSTOMER, "name", 0, 0,
				 "\"%s\"", in->name);
	if (in->kind == FFL_INTENT_DRAIN &&
	    !ffl_fleet_find(&h->fleet, in->name))
		ffl_findings_add(fs, FFL_MSG_UNKNOWN_HOST, "name", 0, 0,
				 "\"%s\" is not in the list of workers",
				 in->name);
}

json_t *ffl_host_plan_to_json(ffl_host_t *h, const ffl_pending_t *plan)
{
	ffl_findings_t fs;
	json_t *json;

	ffl_findings_init(&fs, "plan");
	find_consequences(h, &plan->intent, &fs);
	json = json_pack("{s:I,s:I,s:o,s:o}", "plan", (json_int_t)plan->plan,
			 "revision", (json_int_t)h->config.revision, "intent",
			 ffl_schema_to_json(&ffl_intent_schema, &plan->intent),
			 "findings", ffl_findings_to_json(&fs));
	ffl_findings_finish(&fs);
	return json;
}

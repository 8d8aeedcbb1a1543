#include <urcu-bp.h>

#include "daemon/daemon.h"
#include "fireflyledge/tokens.h"

/** The token set that readers see, freed after their grace period. */
typedef struct {
	ffl_tokens_t set;
} published_t;

static void replace_published(published_t *fresh);

static published_t *current;

/* Configuration changes are rare and read sections short, so the core thread
 * waits for the readers before it frees the old set. */
static void replace_published(published_t *fresh)
{
	published_t *old = current;

	rcu_assign_pointer(current, fresh);
	if (!old)
		return;
	synchronize_rcu();
	ffl_tokens_finish(&old->set);
	g_free(old);
}

void ffld_tokens_publish(const ffl_config_t *cfg, uint64_t key)
{
	published_t *old = current;
	published_t *fresh;

	if (old && old->set.revision == cfg->revision)
		return;
	fresh = g_new0(published_t, 1);
	ffl_tokens_init(&fresh->set, cfg, key);
	replace_published(fresh);
}

bool ffld_tokens_contains(const char *token)
{
	const published_t *p;
	bool known;

	rcu_read_lock();
	p = rcu_dereference(current);
	known = p && ffl_tokens_find_customer(&p->set, token);
	rcu_read_unlock();
	return known;
}

void ffld_tokens_finish(void)
{
	replace_published(NULL);
}

#include <urcu-bp.h>

#include "daemon/daemon.h"
#include "fireflyledge/tokens.h"

/** A published set. */
typedef struct {
	ffl_tokens_t set;
} published_t;

static void replace(published_t *fresh);

static published_t *current;

/* Changes are rare and readers short, so the core waits for them. */
static void replace(published_t *fresh)
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
	replace(fresh);
}

bool ffld_tokens_knows(const char *token)
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
	replace(NULL);
}

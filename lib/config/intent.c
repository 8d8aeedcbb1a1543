/*
 * Checks of an intent that need no configuration.
 */
#include <string.h>

#include "fireflyledge/config.h"

/** Characters allowed in the name of a kind of work. */
#define KIND_CHARS                          \
	"abcdefghijklmnopqrstuvwxyz0123456" \
	"789ABCDEFGHIJKLMNOPQRSTUVWXYZ_-."

/** Checks the fields of one kind of intent. */
typedef void (*intent_check_fn_t)(const ffl_intent_t *in, ffl_findings_t *fs);

static void check_guarantee(const ffl_intent_t *in, ffl_findings_t *fs);
static void check_order(const ffl_intent_t *in, ffl_findings_t *fs);
static void check_name(const ffl_intent_t *in, ffl_findings_t *fs);
static void check_token(const ffl_intent_t *in, ffl_findings_t *fs);
static void check_withdraw(const ffl_intent_t *in, ffl_findings_t *fs);

static const intent_check_fn_t checks[FFL_INTENT__MAX] = {
	[FFL_INTENT_GUARANTEE] = check_guarantee,
	[FFL_INTENT_ORDER] = check_order,
	[FFL_INTENT_DRAIN] = check_name,
	[FFL_INTENT_UNDRAIN] = check_name,
	[FFL_INTENT_CUSTOMER] = check_token,
	[FFL_INTENT_OPERATOR] = check_token,
	[FFL_INTENT_LIMIT] = check_name,
	[FFL_INTENT_WITHDRAW] = check_withdraw,
};

static void check_name(const ffl_intent_t *in, ffl_findings_t *fs)
{
	if (!in->name[0])
		ffl_findings_add(fs, FFL_MSG_MISSING, "name", 0, 0,
				 "%s needs a name",
				 ffl_intent_kind_name(in->kind));
}

static void check_guarantee(const ffl_intent_t *in, ffl_findings_t *fs)
{
	check_name(in, fs);
	if (!in->dc[0])
		ffl_findings_add(fs, FFL_MSG_MISSING, "dc", 0, 0,
				 "a guarantee needs a data centre");
	if (!in->accelerators)
		ffl_findings_add(fs, FFL_MSG_OUT_OF_RANGE, "accelerators", 0, 0,
				 "a guarantee needs at least one accelerator");
	if (in->adjacency == FFL_ADJ_WORKER &&
	    in->accelerators > FFL_WORKER_SLOTS_MAX)
		ffl_findings_add(fs, FFL_MSG_OUT_OF_RANGE, "accelerators", 0, 0,
				 "a worker has at most %u accelerators",
				 FFL_WORKER_SLOTS_MAX);
}

/* The order lists kinds of work, each once, separated by commas. */
static void check_order(const ffl_intent_t *in, ffl_findings_t *fs)
{
	char **kinds = g_strsplit(in->order, ",", -1);

	if (!in->order[0])
		ffl_findings_add(fs, FFL_MSG_MISSING, "order", 0, 0,
				 "the order needs a kind of work; the first is "
				 "preempted first");
	for (uint32_t i = 0; kinds[i]; i++) {
		size_t len = strlen(g_strstrip(kinds[i]));

		if (!len || len != strspn(kinds[i], KIND_CHARS) ||
		    len >= FFL_NAME_BYTES)
			ffl_findings_add(fs, FFL_MSG_BAD_VALUE, "order", 0, 0,
					 "\"%s\" is not a valid kind of work",
					 kinds[i]);
		for (uint32_t j = 0; j < i; j++) {
			if (strcmp(kinds[i], kinds[j]) == 0)
				ffl_findings_add(fs, FFL_MSG_BAD_VALUE, "order",
						 0, 0, "\"%s\" is listed twice",
						 kinds[i]);
		}
	}
	g_strfreev(kinds);
}

static void check_token(const ffl_intent_t *in, ffl_findings_t *fs)
{
	static const uint8_t none[FFL_HASH_BYTES];

	check_name(in, fs);
	if (!in->remove && memcmp(in->token_hash, none, sizeof(none)) == 0)
		ffl_findings_add(fs, FFL_MSG_MISSING, "token_hash", 0, 0,
				 "%s needs the hash of a token",
				 ffl_intent_kind_name(in->kind));
}

static void check_withdraw(const ffl_intent_t *in, ffl_findings_t *fs)
{
	if (!in->revision)
		ffl_findings_add(fs, FFL_MSG_MISSING, "revision", 0, 0,
				 "a withdrawal needs the revision to undo");
}

ffl_status_t ffl_intent_check(const ffl_intent_t *intent, ffl_findings_t *fs)
{
	uint32_t before = fs->errors;

	if (!intent->reason[0])
		ffl_findings_add(fs, FFL_MSG_MISSING, "reason", 0, 0,
				 "an intent needs a reason");
	if (intent->kind >= FFL_INTENT__MAX)
		ffl_findings_add(fs, FFL_MSG_BAD_VALUE, "kind", 0, 0,
				 "unknown kind of intent");
	else
		checks[intent->kind](intent, fs);
	return fs->errors > before ? FFL_INVALID : FFL_OK;
}

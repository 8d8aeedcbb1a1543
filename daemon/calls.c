#include <errno.h>
#include <string.h>
#include <time.h>

#include "daemon/web.h"

#define MS_PER_S	 1000
#define NS_PER_MS	 1000000
#define NS_PER_S	 1000000000
#define CALLER_CHECK_MS	 100
#define DRAIN_TIMEOUT_MS 10000

static void init_cond(pthread_cond_t *cond);
static struct timespec deadline_after(uint32_t ms);
static void report_caller_gone(ffld_web_t *w, ffld_call_t *call);
static ffld_step_t wait_step(ffld_web_t *w, ffld_call_t *call, uint32_t ms);
static void wake_all_calls(ffld_web_t *w);
static void wake_call(ffld_web_t *w, uint64_t id, ffld_step_t step,
		      const ffl_act_answer_t *answer,
		      const ffl_act_forward_t *forward);

void ffld_calls_init(ffld_web_t *w)
{
	pthread_mutex_init(&w->lock, NULL);
	init_cond(&w->drained);
	w->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void ffld_calls_finish(ffld_web_t *w)
{
	g_hash_table_destroy(w->calls);
	pthread_cond_destroy(&w->drained);
	pthread_mutex_destroy(&w->lock);
}

static void init_cond(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

static struct timespec deadline_after(uint32_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / MS_PER_S;
	ts.tv_nsec += (long)(ms % MS_PER_S) * NS_PER_MS;
	if (ts.tv_nsec >= NS_PER_S) {
		ts.tv_sec++;
		ts.tv_nsec -= NS_PER_S;
	}
	return ts;
}

void ffld_call_open(ffld_web_t *w, ffld_call_t *call)
{
	memset(call, 0, sizeof(*call));
	init_cond(&call->changed);
	call->body = g_byte_array_new();
	pthread_mutex_lock(&w->lock);
	call->id = ++w->next_id;
	g_hash_table_insert(w->calls, &call->id, call);
	pthread_mutex_unlock(&w->lock);
}

void ffld_call_close(ffld_web_t *w, ffld_call_t *call)
{
	pthread_mutex_lock(&w->lock);
	g_hash_table_remove(w->calls, &call->id);
	if (!g_hash_table_size(w->calls))
		pthread_cond_signal(&w->drained);
	pthread_mutex_unlock(&w->lock);
	pthread_cond_destroy(&call->changed);
	g_byte_array_free(call->body, TRUE);
}

/* Posts one event to the core when a caller has closed its connection. */
static void report_caller_gone(ffld_web_t *w, ffld_call_t *call)
{
	ffl_box_t *box;

	if (call->gone_reported || !call->caller_conn ||
	    ffld_conn_peek(call->caller_conn) != FFLD_CONN_CLOSED)
		return;
	call->gone_reported = true;
	box = ffl_box_new(FFL_EV_REQUEST_GONE);
	box->ev.request_gone = call->id;
	ffld_post_event_wait(w->d, box);
}

/* Waits up to @p ms, so that ffld_call_wait() can check the caller between. */
static ffld_step_t wait_step(ffld_web_t *w, ffld_call_t *call, uint32_t ms)
{
	struct timespec ts = deadline_after(ms);
	ffld_step_t step;
	int rc = 0;

	pthread_mutex_lock(&w->lock);
	while (call->step == FFLD_STEP_NONE && rc != ETIMEDOUT &&
	       !atomic_load(&w->closing))
		rc = pthread_cond_timedwait(&call->changed, &w->lock, &ts);
	step = call->step;
	call->step = FFLD_STEP_NONE;
	pthread_mutex_unlock(&w->lock);
	return step;
}

ffld_step_t ffld_call_wait(ffld_web_t *w, ffld_call_t *call,
			   uint32_t timeout_ms)
{
	uint64_t end_ms = ffld_now_ms() + timeout_ms;
	ffld_step_t step;

	do {
		step = wait_step(w, call, CALLER_CHECK_MS);
		if (step == FFLD_STEP_NONE)
			report_caller_gone(w, call);
	} while (step == FFLD_STEP_NONE && !atomic_load(&w->closing) &&
		 ffld_now_ms() < end_ms);
	return step;
}

static void wake_all_calls(ffld_web_t *w)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, w->calls);
	while (g_hash_table_iter_next(&it, NULL, &value))
		pthread_cond_signal(&((ffld_call_t *)value)->changed);
}

static void wake_call(ffld_web_t *w, uint64_t id, ffld_step_t step,
		      const ffl_act_answer_t *answer,
		      const ffl_act_forward_t *forward)
{
	ffld_call_t *call;

	pthread_mutex_lock(&w->lock);
	call = g_hash_table_lookup(w->calls, &id);
	if (call) {
		call->step = step;
		if (answer) {
			call->answer = *answer;
			g_byte_array_set_size(call->body, 0);
			g_byte_array_append(call->body, answer->body.data,
					    (guint)answer->body.size_bytes);
		}
		if (forward)
			call->forward = *forward;
		pthread_cond_signal(&call->changed);
	}
	pthread_mutex_unlock(&w->lock);
}

void ffld_web_answer(void *self, const ffl_act_answer_t *act)
{
	wake_call(((ffld_t *)self)->web, act->id, FFLD_STEP_ANSWER, act, NULL);
}

void ffld_web_forward(void *self, const ffl_act_forward_t *act)
{
	wake_call(((ffld_t *)self)->web, act->id, FFLD_STEP_FORWARD, NULL, act);
}

void ffld_web_finish(void *self, uint64_t id)
{
	wake_call(((ffld_t *)self)->web, id, FFLD_STEP_FINISH, NULL, NULL);
}

/* mg_stop() cuts responses that are being written, so the open calls are ended
 * before it. */
void ffld_calls_drain(ffld_web_t *w)
{
	struct timespec ts = deadline_after(DRAIN_TIMEOUT_MS);
	int rc = 0;

	atomic_store(&w->closing, true);
	pthread_mutex_lock(&w->lock);
	wake_all_calls(w);
	while (g_hash_table_size(w->calls) && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&w->drained, &w->lock, &ts);
	pthread_mutex_unlock(&w->lock);
}

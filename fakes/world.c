#include <string.h>

#include "fakes/world.h"

/** Delays and intervals in virtual milliseconds. */
#define PEER_MS	       1
#define LOG_MS	       3
#define LATE_MS	       4500 /* delay of a late append */
#define WORKER_MS      2
#define READ_POLL_MS   20 /* interval at which a waiting read checks the log */
#define HOST_LIST_MS   500
#define TIMEOUT_MS     2000 /* after which a lost reply is reported */
#define REPLY_WAIT_MS  6000
#define LEASE_MS       6000
#define ACCELERATORS   8
#define WORKERS_A_RACK 8
#define PEER_ADDR      "10.0.0.%u:7000"

/** A scheduled event. */
typedef struct {
	uint64_t at_ms;
	uint64_t seq;
	uint32_t host;
	uint64_t incarnation;
	ffl_box_t *box;
	ffl_act_log_read_t *read;    /**< pending read */
	ffl_act_worker_send_t *send; /**< command in transit to a worker */
	GPtrArray *late;	     /**< records of a late append */
} world_event_t;

/** User pointer of a host's port. */
typedef struct {
	world_t *w;
	uint32_t host;
} host_port_t;

static gint compare_events(gconstpointer a, gconstpointer b, gpointer user);
static void event_free(gpointer p);
static void answer_free(gpointer p);
static void schedule(world_t *w, uint32_t host, uint32_t delay_ms,
		     ffl_box_t *box);
static world_event_t *schedule_event(world_t *w, uint32_t host,
				     uint32_t delay_ms);
static void act_log_read(void *self, const ffl_act_log_read_t *act);
static void act_log_append(void *self, const ffl_act_log_append_t *act);
static void schedule_late_append(world_t *w, uint32_t host,
				 const ffl_act_log_append_t *act);
static void append_due(world_t *w, const world_event_t *d);
static void act_hosts_read(void *self, const ffl_act_hosts_read_t *act);
static void act_worker_send(void *self, const ffl_act_worker_send_t *act);
static void act_peer_send(void *self, const ffl_act_peer_send_t *act);
static void act_answer(void *self, const ffl_act_answer_t *act);
static void act_forward(void *self, const ffl_act_forward_t *act);
static void act_finish(void *self, uint64_t id);
static void act_ready(void *self, bool ready);
static void act_report(void *self, const ffl_act_report_t *act);
static void act_exit(void *self);
static void deliver(world_t *w, uint32_t host, const ffl_event_t *ev);
static void answer_read(world_t *w, world_event_t *d);
static void deliver_command(world_t *w, const world_event_t *d);
static void refresh_host_list(world_t *w);
static uint64_t next_ms(const world_t *w, uint64_t end_ms);
static uint32_t cell_of_host(const world_t *w, uint32_t host);
static void deliver_due(world_t *w);
static void send_host_list(world_t *w, uint32_t host);
static const char *region(uint32_t cell);
static void add_info(world_t *w, ffl_host_kind_t kind, uint32_t n);
static int find_worker(const world_t *w, const char *name);
static world_answer_t *new_answer(world_t *w, uint32_t host, uint64_t id);

static const ffl_port_t port = {
	.log_read = act_log_read,
	.log_append = act_log_append,
	.hosts_read = act_hosts_read,
	.worker_send = act_worker_send,
	.peer_send = act_peer_send,
	.answer = act_answer,
	.forward = act_forward,
	.finish = act_finish,
	.ready = act_ready,
	.report = act_report,
	.exit = act_exit,
};

static const ffl_member_times_t times = { .heartbeat_ms = 250,
					  .suspect_ms = 2000,
					  .renew_ms = 60000,
					  .expiry_ms = 180000,
					  .lease_ms = LEASE_MS };
static const ffl_request_limits_t limits = { .queue_max = 256,
					     .default_timeout_ms = 10000,
					     .max_timeout_ms = 60000,
					     .attempts_max = 3,
					     .eject_failures = 5,
					     .eject_ms = 5000 };

static gint compare_events(gconstpointer pa, gconstpointer pb, gpointer user)
{
	const world_event_t *a = pa;
	const world_event_t *b = pb;

	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

static void event_free(gpointer p)
{
	world_event_t *d = p;

	if (d->box)
		ffl_box_free(d->box);
	g_free(d->read);
	g_free(d->send);
	if (d->late)
		g_ptr_array_free(d->late, TRUE);
	g_free(d);
}

static void answer_free(gpointer p)
{
	world_answer_t *a = p;

	g_free(a->body);
	g_free(a);
}

static world_event_t *schedule_event(world_t *w, uint32_t host,
				     uint32_t delay_ms)
{
	world_event_t *d = g_new0(world_event_t, 1);

	d->at_ms = w->now_ms + delay_ms;
	d->seq = ++w->next_seq;
	d->host = host;
	d->incarnation = w->hosts[host].incarnation;
	g_sequence_insert_sorted(w->due, d, compare_events, NULL);
	return d;
}

static void schedule(world_t *w, uint32_t host, uint32_t delay_ms,
		     ffl_box_t *box)
{
	schedule_event(w, host, delay_ms)->box = box;
}

static void act_log_read(void *self, const ffl_act_log_read_t *act)
{
	host_port_t *s = self;
	world_event_t *d = schedule_event(s->w, s->host, LOG_MS);

	d->read = g_new0(ffl_act_log_read_t, 1);
	*d->read = *act;
}

/* A read waits at the log until there is a record or its wait_ms have passed.
 */
static void answer_read(world_t *w, world_event_t *d)
{
	bool down = w->log.down || w->hosts[d->host].log_cut;
	ffl_box_t *box = ffl_box_new(FFL_EV_LOG_READ);
	ffl_ev_log_read_t *r = &box->ev.log_read;
	uint64_t end = fake_log_end(&w->log);
	uint64_t from = d->read->from;
	ffl_log_entry_t *entries;

	if (!down && from >= end && d->read->wait_ms > READ_POLL_MS) {
		world_event_t *again = schedule_event(w, d->host, READ_POLL_MS);

		again->read = g_new0(ffl_act_log_read_t, 1);
		*again->read = *d->read;
		again->read->wait_ms -= READ_POLL_MS;
		ffl_box_free(box);
		return;
	}
	r->status = down ? FFL_UNAVAILABLE : FFL_OK;
	r->first = w->log.first;
	r->end = end;
	if (from < w->log.first)
		from = w->log.first;
	entries = ffl_arena_alloc(&box->arena,
				  (d->read->max + 1) * sizeof(*entries));
	for (; !down && from < end && r->count < d->read->max; from++) {
		entries[r->count].offset = from;
		entries[r->count].data =
			ffl_box_copy_bytes(box, fake_log_get(&w->log, from));
		r->count++;
	}
	r->entries = entries;
	fake_log_corrupt_read(&w->log, r, entries);
	schedule(w, d->host, LOG_MS, box);
}

static void schedule_late_append(world_t *w, uint32_t host,
				 const ffl_act_log_append_t *act)
{
	world_event_t *d = schedule_event(w, host, LATE_MS);

	d->late = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (uint32_t i = 0; i < act->count; i++)
		g_ptr_array_add(d->late,
				g_bytes_new(act->records[i].data,
					    act->records[i].size_bytes));
}

static void append_due(world_t *w, const world_event_t *d)
{
	uint64_t offset;

	for (guint i = 0; i < d->late->len; i++) {
		ffl_bytes_t rec;

		rec.data = g_bytes_get_data(g_ptr_array_index(d->late, i),
					    &rec.size_bytes);
		fake_log_append(&w->log, &rec, 1, &offset);
	}
}

static void act_log_append(void *self, const ffl_act_log_append_t *act)
{
	host_port_t *s = self;
	ffl_box_t *box = ffl_box_new(FFL_EV_LOG_APPENDED);
	ffl_ev_log_appended_t *ev = &box->ev.log_appended;

	ev->append = act->append;
	if (s->w->log.late_appends) {
		s->w->log.late_appends--;
		schedule_late_append(s->w, s->host, act);
		ev->status = FFL_UNKNOWN;
		schedule(s->w, s->host, TIMEOUT_MS, box);
		return;
	}
	ev->status = FFL_UNAVAILABLE;
	if (!s->w->hosts[s->host].log_cut)
		ev->status = fake_log_append(&s->w->log, act->records,
					     act->count, &ev->offset);
	schedule(s->w, s->host, ev->status == FFL_UNKNOWN ? TIMEOUT_MS : LOG_MS,
		 box);
}

/* Never called: world_run() sends the host list, and the hosts are set not to
 * read it. */
static void act_hosts_read(void *self, const ffl_act_hosts_read_t *act)
{
	g_assert_not_reached();
}

static int find_worker(const world_t *w, const char *name)
{
	for (uint32_t i = 0; i < w->worker_count; i++) {
		if (strcmp(w->workers[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

static void act_worker_send(void *self, const ffl_act_worker_send_t *act)
{
	host_port_t *s = self;
	world_t *w = s->w;
	uint32_t delay_ms = WORKER_MS;
	world_event_t *d;

	if (w->delayed_commands) {
		w->delayed_commands--;
		delay_ms += (uint32_t)ffl_rng_below(&w->rng, w->slow_ms + 1);
	}
	d = schedule_event(w, s->host, delay_ms);
	d->send = g_new(ffl_act_worker_send_t, 1);
	*d->send = *act;
}

/* Delivers a command to its worker, even if its sender has stopped since. */
static void deliver_command(world_t *w, const world_event_t *d)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_WORKER_REPLY);
	ffl_ev_worker_reply_t *ev = &box->ev.worker_reply;
	int i = find_worker(w, d->send->worker);
	bool lost =
		i < 0 || w->worker_frozen[i] || w->hosts[d->host].worker_cut[i];
	ffl_worker_reply_t reply;
	world_event_t *answer;

	ffl_copy(ev->worker, sizeof(ev->worker), d->send->worker);
	ev->call = d->send->call;
	if (!lost) {
		fake_worker_command(&w->workers[i], &d->send->cmd, w->now_ms,
				    &reply);
		if (w->on_command)
			w->on_command(w, (uint32_t)i, &d->send->cmd,
				      reply.status);
		ev->reply = reply;
		ev->reply.tasks.items = ffl_arena_copy(
			&box->arena, reply.tasks.items,
			reply.tasks.count * sizeof(ffl_task_report_t));
		if (w->lose_replies) {
			w->lose_replies--;
			lost = true;
		}
	}
	ev->status = lost ? FFL_UNKNOWN : FFL_OK;
	answer = schedule_event(w, d->host, lost ? TIMEOUT_MS : WORKER_MS);
	answer->incarnation = d->incarnation;
	answer->box = box;
}

static void act_peer_send(void *self, const ffl_act_peer_send_t *act)
{
	host_port_t *s = self;
	world_t *w = s->w;

	if (w->hosts[s->host].cut ||
	    ffl_rng_below(&w->rng, 100) < w->drop_peer_percent)
		return;
	for (uint32_t i = 0; i < w->host_count; i++) {
		world_host_t *h = &w->hosts[i];
		ffl_box_t *box;

		if (!h->alive || h->cut || h->peer_cut[s->host] ||
		    strcmp(h->opt.self.peer_addr, act->addr) != 0)
			continue;
		box = ffl_box_new(FFL_EV_PEER);
		if (ffl_peer_decode(act->frame, &box->ev.peer, &box->arena) !=
		    FFL_OK) {
			ffl_box_free(box);
			return;
		}
		schedule(w, i, PEER_MS, box);
		return;
	}
}

static world_answer_t *new_answer(world_t *w, uint32_t host, uint64_t id)
{
	world_answer_t *a = g_new0(world_answer_t, 1);

	a->id = id;
	a->host = host;
	g_ptr_array_add(w->answers, a);
	return a;
}

static void act_answer(void *self, const ffl_act_answer_t *act)
{
	host_port_t *s = self;
	world_answer_t *a = new_answer(s->w, s->host, act->id);

	a->http_status = act->http_status;
	a->body = g_strndup((const char *)act->body.data, act->body.size_bytes);
}

static void act_forward(void *self, const ffl_act_forward_t *act)
{
	host_port_t *s = self;
	world_t *w = s->w;
	ffl_box_t *box = ffl_box_new(FFL_EV_UPSTREAM_DONE);
	ffl_ev_upstream_done_t *ev = &box->ev.upstream_done;
	const char *key = g_hash_table_lookup(w->keys, &act->id);
	world_run_t run = { .id = act->id,
			    .host = s->host,
			    .at_ms = w->now_ms };

	ev->id = act->id;
	ev->attempt = act->attempt;
	ev->outcome = w->upstream_fault;
	ev->http_status = 200;
	ev->elapsed_ms = w->upstream_ms;
	ev->content_type = "text/plain";
	ev->answer = ffl_box_copy_bytes(
		box, (ffl_bytes_t){ (const uint8_t *)"done", 4 });
	if (ev->outcome != FFL_UP_NOT_SENT && ev->outcome != FFL_UP_REFUSED) {
		ffl_copy(run.key, sizeof(run.key), key ? key : "");
		for (uint32_t i = w->worker_count; i < w->info_count; i++) {
			if (strcmp(w->infos[i].name, act->upstream) == 0)
				run.upstream = i;
		}
		g_array_append_val(w->runs, run);
	}
	schedule(w, s->host, w->upstream_ms, box);
}

static void act_finish(void *self, uint64_t id)
{
	host_port_t *s = self;

	new_answer(s->w, s->host, id)->finished = true;
}

static void act_ready(void *self, bool ready)
{
	host_port_t *s = self;

	s->w->hosts[s->host].ready = ready;
}

static void act_report(void *self, const ffl_act_report_t *act)
{
}

static void act_exit(void *self)
{
	host_port_t *s = self;

	s->w->hosts[s->host].exited = true;
	s->w->hosts[s->host].alive = false;
}

static void deliver(world_t *w, uint32_t host, const ffl_event_t *ev)
{
	host_port_t self = { w, host };
	ffl_actions_t actions;

	ffl_actions_init(&actions);
	ffl_host_step(&w->hosts[host].host, ev, w->now_ms, &actions);
	w->actions += ffl_actions_count(&actions);
	for (uint32_t i = 0; w->on_action && i < ffl_actions_count(&actions);
	     i++)
		w->on_action(w->on_action_user, host,
			     ffl_actions_at(&actions, i));
	ffl_port_dispatch(&port, &self, &actions);
	ffl_actions_finish(&actions);
}

static void deliver_due(world_t *w)
{
	GSequenceIter *it = g_sequence_get_begin_iter(w->due);

	while (!g_sequence_iter_is_end(it)) {
		world_event_t *d = g_sequence_get(it);
		world_host_t *h = &w->hosts[d->host];

		if (d->at_ms > w->now_ms)
			return;
		if (d->send) {
			deliver_command(w, d);
		} else if (d->late) {
			append_due(w, d);
		} else if (h->alive && h->incarnation == d->incarnation &&
			   h->paused_until_ms > w->now_ms) {
			world_event_t *later = schedule_event(
				w, d->host,
				(uint32_t)(h->paused_until_ms - w->now_ms));

			later->box = d->box;
			later->read = d->read;
			d->box = NULL;
			d->read = NULL;
		} else if (h->alive && h->incarnation == d->incarnation) {
			if (d->read)
				answer_read(w, d);
			else
				deliver(w, d->host, &d->box->ev);
		}
		g_sequence_remove(it);
		it = g_sequence_get_begin_iter(w->due);
	}
}

static void refresh_host_list(world_t *w)
{
	if (w->visible_count && w->now_ms - w->visible_ms < w->list_lag_ms)
		return;
	w->visible_ms = w->now_ms;
	w->visible_count = 0;
	for (uint32_t i = 0; i < w->info_count; i++) {
		if (i < w->worker_count && w->worker_unlisted[i])
			continue;
		w->visible_infos[w->visible_count++] = w->infos[i];
	}
}

static void send_host_list(world_t *w, uint32_t host)
{
	ffl_event_t ev = { .kind = FFL_EV_HOST_LIST };

	refresh_host_list(w);
	ev.host_list.hosts.items = w->visible_infos;
	ev.host_list.hosts.count = w->visible_count;
	deliver(w, host, &ev);
}

/* Returns the time of the next event or tick. */
static uint64_t next_ms(const world_t *w, uint64_t end_ms)
{
	GSequenceIter *it = g_sequence_get_begin_iter(w->due);
	uint64_t next = end_ms;

	if (!g_sequence_iter_is_end(it)) {
		const world_event_t *d = g_sequence_get(it);

		next = d->at_ms < next ? d->at_ms : next;
	}
	for (uint32_t i = 0; i < w->host_count; i++) {
		uint64_t tick = w->now_ms + i + FFL_TICK_MS;

		tick = tick / FFL_TICK_MS * FFL_TICK_MS - i;
		if (w->hosts[i].alive && tick < next)
			next = tick;
	}
	return next > w->now_ms ? next : w->now_ms + 1;
}

void world_run(world_t *w, uint32_t ms)
{
	const ffl_event_t tick = { .kind = FFL_EV_TICK };
	uint64_t end_ms = w->now_ms + ms;

	while (w->now_ms < end_ms) {
		w->now_ms = next_ms(w, end_ms);
		deliver_due(w);
		for (uint32_t i = 0; i < w->host_count; i++) {
			world_host_t *h = &w->hosts[i];

			if (!h->alive || h->paused_until_ms > w->now_ms)
				continue;
			if ((w->now_ms + i) % HOST_LIST_MS == 0)
				send_host_list(w, i);
			if (h->alive && (w->now_ms + i) % FFL_TICK_MS == 0)
				deliver(w, i, &tick);
		}
	}
}

const char *world_dc(uint32_t cell)
{
	static const char *const names[WORLD_CELLS_MAX] = {
		"altiplano-1", "altiplano-2", "oriente-1", "oriente-2"
	};

	return names[cell % WORLD_CELLS_MAX];
}

static const char *region(uint32_t cell)
{
	return cell < 2 ? "altiplano" : "oriente";
}

static uint32_t cell_of_host(const world_t *w, uint32_t host)
{
	return host * w->cells / w->host_count;
}

static void add_info(world_t *w, ffl_host_kind_t kind, uint32_t n)
{
	ffl_host_info_t *info = &w->infos[w->info_count++];
	const uint32_t counts[FFL_HOST__MAX] = {
		[FFL_HOST_WORKER] = w->worker_count,
		[FFL_HOST_UPSTREAM] = w->upstream_count,
		[FFL_HOST_ENTRY] = w->host_count,
	};
	uint32_t cell = n * w->cells / counts[kind];

	info->kind = kind;
	ffl_copy(info->dc, sizeof(info->dc), world_dc(cell));
	ffl_copy(info->region, sizeof(info->region), region(cell));
	if (kind == FFL_HOST_ENTRY) {
		g_snprintf(info->name, sizeof(info->name), "entry-%u", n);
		g_snprintf(info->addr, sizeof(info->addr), PEER_ADDR, n + 1);
		return;
	}
	if (kind == FFL_HOST_WORKER) {
		g_snprintf(info->name, sizeof(info->name), "w%u", n);
		info->rack = n / WORKERS_A_RACK;
		info->position = n % WORKERS_A_RACK;
		info->accelerators = ACCELERATORS;
		info->cores = 32;
		info->memory_mb = 65536;
		fake_worker_init(&w->workers[n], info->name);
		return;
	}
	g_snprintf(info->name, sizeof(info->name), "u%u", n);
	info->slots = 8;
	info->connections = 64;
}

void world_init(world_t *w, uint64_t seed, uint32_t hosts, uint32_t workers,
		uint32_t upstreams)
{
	world_init_cells(w, seed, 1, hosts, workers, upstreams);
}

void world_init_cells(world_t *w, uint64_t seed, uint32_t cells, uint32_t hosts,
		      uint32_t workers, uint32_t upstreams)
{
	memset(w, 0, sizeof(*w));
	w->now_ms = 1000;
	ffl_rng_init(&w->rng, seed);
	fake_log_init(&w->log);
	w->due = g_sequence_new(event_free);
	w->answers = g_ptr_array_new_with_free_func(answer_free);
	w->runs = g_array_new(FALSE, TRUE, sizeof(world_run_t));
	w->keys = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					g_free);
	w->upstream_ms = 5;
	w->cells = cells;
	w->worker_count = workers;
	w->upstream_count = upstreams;
	w->host_count = hosts;
	for (uint32_t i = 0; i < workers; i++)
		add_info(w, FFL_HOST_WORKER, i);
	for (uint32_t i = 0; i < upstreams; i++)
		add_info(w, FFL_HOST_UPSTREAM, i);
	for (uint32_t i = 0; i < hosts; i++)
		add_info(w, FFL_HOST_ENTRY, i);
	for (uint32_t i = 0; i < hosts; i++)
		world_start(w, i);
}

void world_finish(world_t *w)
{
	for (uint32_t i = 0; i < w->host_count; i++)
		world_kill(w, i);
	g_sequence_free(w->due);
	for (uint32_t i = 0; i < w->worker_count; i++)
		fake_worker_finish(&w->workers[i]);
	fake_log_finish(&w->log);
	g_ptr_array_free(w->answers, TRUE);
	g_array_free(w->runs, TRUE);
	g_hash_table_destroy(w->keys);
}

void world_kill(world_t *w, uint32_t host)
{
	world_host_t *h = &w->hosts[host];

	if (!h->incarnation)
		return;
	ffl_host_finish(&h->host);
	h->alive = false;
	h->ready = false;
	h->incarnation = 0;
}

void world_start(world_t *w, uint32_t host)
{
	world_host_t *h = &w->hosts[host];

	world_kill(w, host);
	memset(h, 0, sizeof(*h));
	h->incarnation = ++w->next_incarnation;
	h->alive = true;
	h->opt.cluster = WORLD_CLUSTER;
	h->opt.seed = ffl_rng_next(&w->rng);
	h->opt.times = times;
	h->opt.limits = limits;
	h->opt.snapshots = w->snapshots;
	h->opt.self.member = (ffl_rng_next(&w->rng) >> 1) | 1;
	h->opt.self.expiry_ms = times.expiry_ms;
	g_snprintf(h->opt.self.name, sizeof(h->opt.self.name), "entry-%u",
		   host);
	g_snprintf(h->opt.self.peer_addr, sizeof(h->opt.self.peer_addr),
		   PEER_ADDR, host + 1);
	ffl_copy(h->opt.self.dc, sizeof(h->opt.self.dc),
		 world_dc(cell_of_host(w, host)));
	ffl_copy(h->opt.self.region, sizeof(h->opt.self.region),
		 region(cell_of_host(w, host)));
	ffl_token_hash(WORLD_OPERATOR, h->opt.bootstrap_hash);
	ffl_counters_init(&h->counters);
	ffl_host_init(&h->host, &h->opt, &h->counters);
}

void world_pause(world_t *w, uint32_t host, uint32_t ms)
{
	world_host_t *h = &w->hosts[host];

	/* A shorter pause must not end a longer one. */
	h->paused_until_ms = MAX(h->paused_until_ms, w->now_ms + ms);
}

void world_stop(world_t *w, uint32_t host)
{
	if (w->hosts[host].alive)
		schedule(w, host, 1, ffl_box_new(FFL_EV_STOP));
}

uint64_t world_command(world_t *w, uint32_t host, ffl_command_t command,
		       const char *token, const char *arg, const char *body)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_COMMAND);
	ffl_ev_command_t *ev = &box->ev.command;

	ev->id = ++w->next_id;
	ev->command = command;
	ev->token = ffl_box_copy_text(box, token);
	ev->arg = ffl_box_copy_text(box, arg);
	ev->body = ffl_box_copy_bytes(
		box, (ffl_bytes_t){ (const uint8_t *)body, strlen(body) });
	schedule(w, host, 1, box);
	return w->next_id;
}

uint64_t world_request(world_t *w, uint32_t host, const char *token,
		       const char *caller, ffl_urgency_t urgency,
		       const char *key)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_REQUEST);
	ffl_ev_request_t *ev = &box->ev.request;
	gint64 *id = g_new(gint64, 1);

	ev->id = ++w->next_id;
	ev->token = ffl_box_copy_text(box, token);
	ev->caller = ffl_box_copy_text(box, caller);
	ev->key = ffl_box_copy_text(box, key);
	ev->kind = "POST /readings";
	ev->urgency = urgency;
	ev->repeatable = false;
	ev->payload_hash = 1;
	ev->body_bytes = 100;
	*id = (gint64)ev->id;
	g_hash_table_insert(w->keys, id, g_strdup(key));
	schedule(w, host, 1, box);
	return w->next_id;
}

const world_answer_t *world_answer(const world_t *w, uint64_t id)
{
	for (guint i = w->answers->len; i-- > 0;) {
		const world_answer_t *a = g_ptr_array_index(w->answers, i);

		if (a->id == id)
			return a;
	}
	return NULL;
}

bool world_apply_intent(world_t *w, uint32_t host, const char *intent_json)
{
	uint64_t id = world_command(w, host, FFL_CMD_INTENT, WORLD_OPERATOR, "",
				    intent_json);
	const world_answer_t *a;
	json_t *plan;
	char arg[32];
	char body[64];

	world_run(w, REPLY_WAIT_MS);
	a = world_answer(w, id);
	if (!a || a->http_status != 201)
		return false;
	plan = json_loads(a->body, 0, NULL);
	g_snprintf(arg, sizeof(arg), "%" JSON_INTEGER_FORMAT,
		   json_integer_value(json_object_get(plan, "plan")));
	g_snprintf(body, sizeof(body),
		   "{\"revision\": %" JSON_INTEGER_FORMAT "}",
		   json_integer_value(json_object_get(plan, "revision")));
	json_decref(plan);
	id = world_command(w, host, FFL_CMD_CONFIRM, WORLD_OPERATOR, arg, body);
	world_run(w, REPLY_WAIT_MS);
	a = world_answer(w, id);
	return a && a->http_status == 200;
}

bool world_add_customer(world_t *w, uint32_t host, const char *name,
			const char *token)
{
	uint8_t hash[FFL_HASH_BYTES];
	GString *json = g_string_new(NULL);
	bool ok;

	ffl_token_hash(token, hash);
	g_string_append_printf(json,
			       "{\"kind\":\"customer\",\"name\":\"%s\","
			       "\"reason\":\"world\",\"token_hash\":\"",
			       name);
	for (size_t i = 0; i < sizeof(hash); i++)
		g_string_append_printf(json, "%02x", hash[i]);
	g_string_append(json, "\"}");
	ok = world_apply_intent(w, host, json->str);
	g_string_free(json, TRUE);
	return ok;
}

int world_cell_leader(const world_t *w, uint32_t cell)
{
	for (uint32_t i = 0; i < w->host_count; i++) {
		const world_host_t *h = &w->hosts[i];

		if (h->alive &&
		    ffl_members_own_epoch(&h->host.members, world_dc(cell)))
			return (int)i;
	}
	return -1;
}

int world_leader(const world_t *w)
{
	return world_cell_leader(w, 0);
}

void world_set_worker_leaving(world_t *w, uint32_t worker, bool leaving)
{
	w->infos[worker].leaving = leaving;
}

/*
 * Runs the dispatchers. Each event is passed to a dispatcher and the resulting
 * actions are executed before any other event, so that handles in actions
 * always refer to the current inventory.
 */
#include <auburnstile/internal/answer.h>
#include <auburnstile/internal/dispatch_probes.h>
#include <auburnstile/internal/dispatch_status.h>
#include <auburnstile/internal/dispatch_task.h>
#include <auburnstile/internal/upstream_set.h>

#include <string.h>

/* A new owner is known to all entries within about this time. */
#define NOT_OWNER_RETRY_MS 200

struct service {
	struct aub_dispatch_task *task;
	char *name;
	struct aub_dispatcher *dispatcher;
	enum aub_dispatch_role role;
	struct aub_inventory *inventory; /* owned reference */
	bool removed; /* no longer in the inventory */
	bool running_actions; /* in run_actions(), which must not nest */
	GHashTable *requests; /* id -> struct request */
	guint timer;
	gint64 timer_us; /* when the timer expires; 0: none */
	guint queue_gauge;
	guint probe_counter;
};

struct request {
	struct service *service;
	const struct aub_call *call; /* NULL: the caller no longer waits */
	guint64 id;
	bool at_most_once;
	GPtrArray *attempts; /* of struct attempt, still open */
	/* Complete answers, awaiting a decision. */
	struct aub_answer *answers[2];
	guint32 answer_attempts[2];
	aub_dispatch_callback *callback;
	void *context;
};

struct attempt {
	struct request *request;
	guint32 number;
	struct aub_attempt *handle;
	char upstream[AUB_EVENT_NAME_BYTES];
};

struct aub_dispatch_task {
	struct aub_dispatch_task_options options;
	GHashTable *services; /* name -> struct service */
	struct aub_upstream_set *upstreams;
	GHashTable *attempts; /* set of struct attempt, over all requests */
	struct aub_probes *probes;
};

static void run_actions(struct service *service);
static void on_probed(const struct aub_probe_report *report, void *context);

static gint64 now(const struct aub_dispatch_task *task)
{
	return aub_timer_now(task->options.timers);
}

static void request_free(void *data)
{
	struct request *request = data;

	for (gsize i = 0; i < G_N_ELEMENTS(request->answers); i++)
		aub_message_free((struct aub_message *)request->answers[i]);
	for (guint i = 0; i < request->attempts->len; i++) {
		struct attempt *attempt = request->attempts->pdata[i];

		attempt->request = NULL;
	}
	g_ptr_array_unref(request->attempts);
	g_free(request);
}

static void service_free(void *data)
{
	struct service *service = data;

	aub_timer_cancel(service->task->options.timers, service->timer);
	g_hash_table_unref(service->requests);
	aub_dispatcher_free(service->dispatcher);
	aub_inventory_unref(service->inventory);
	g_free(service->name);
	g_free(service);
}

struct aub_dispatch_task *aub_dispatch_task_new(
	const struct aub_dispatch_task_options *options)
{
	struct aub_dispatch_task *task;

	task = g_new0(struct aub_dispatch_task, 1);
	task->options = *options;
	task->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       service_free);
	task->upstreams = aub_upstream_set_new(options->timers);
	task->attempts = g_hash_table_new(NULL, NULL);
	task->probes = aub_probes_new(task->upstreams, on_probed, task);
	return task;
}

void aub_dispatch_task_free(struct aub_dispatch_task *task)
{
	GHashTableIter iterator;
	void *key;

	if (!task)
		return;
	g_hash_table_unref(task->services);
	aub_probes_free(task->probes);
	aub_upstream_set_free(task->upstreams);
	g_hash_table_iter_init(&iterator, task->attempts);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		struct attempt *attempt = key;

		aub_attempt_abandon(attempt->handle);
		g_free(attempt);
	}
	g_hash_table_unref(task->attempts);
	g_free(task);
}

static struct service *service_new(struct aub_dispatch_task *task,
				   const char *name)
{
	struct aub_metrics *metrics = task->options.metrics;
	struct aub_dispatcher_options options = {
		.policy = task->options.policy,
		.seed = task->options.seed,
	};
	struct service *service;
	char *labels;

	service = g_new0(struct service, 1);
	service->task = task;
	service->name = g_strdup(name);
	service->dispatcher = aub_dispatcher_new(&options);
	service->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, request_free);
	labels = aub_metrics_labels("service", name, NULL);
	service->queue_gauge =
		aub_metrics_gauge(metrics, "auburnstile_queue_length", labels,
				  "Requests waiting for a slot at this entry.");
	service->probe_counter =
		aub_metrics_counter(metrics, "auburnstile_probes_total", labels,
				    "Probes sent to upstreams.");
	g_free(labels);
	g_hash_table_insert(task->services, service->name, service);
	return service;
}

void aub_dispatch_task_configure(struct aub_dispatch_task *task,
				 struct aub_inventory *inventory)
{
	GHashTableIter iterator;
	void *value;

	aub_upstream_set_configure(task->upstreams, inventory);
	for (guint i = 0; i < inventory->services->len; i++) {
		const char *name = aub_service_at(inventory, i)->name;
		struct service *service;

		service = g_hash_table_lookup(task->services, name);
		if (!service)
			service = service_new(task, name);
		aub_inventory_ref(inventory);
		if (service->inventory)
			aub_inventory_unref(service->inventory);
		service->inventory = inventory;
		service->removed = false;
		aub_dispatcher_configure(service->dispatcher, inventory, i,
					 now(task));
		run_actions(service);
	}
	g_hash_table_iter_init(&iterator, task->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service *service = value;

		if (service->inventory == inventory || service->removed)
			continue;
		service->removed = true;
		service->role = AUB_DISPATCH_NONE;
		aub_dispatcher_set_role(service->dispatcher, AUB_DISPATCH_NONE,
					0, now(task));
		run_actions(service);
	}
}

struct aub_dispatcher *aub_dispatch_task_dispatcher(
	const struct aub_dispatch_task *task, const char *name)
{
	struct service *service = g_hash_table_lookup(task->services, name);

	return service && !service->removed ? service->dispatcher : NULL;
}

void aub_dispatch_task_set_role(struct aub_dispatch_task *task,
				const char *name, enum aub_dispatch_role role,
				gint64 warm_up_us)
{
	struct service *service = g_hash_table_lookup(task->services, name);

	if (!service || service->removed || service->role == role)
		return;
	service->role = role;
	aub_dispatcher_set_role(service->dispatcher, role, warm_up_us,
				now(task));
	run_actions(service);
}

/* Frees a request that no caller waits for and that has no open attempts. */
static void free_if_done(struct request *request)
{
	if (request->call || request->attempts->len)
		return;
	g_hash_table_remove(request->service->requests, &request->id);
}

static void deliver(struct request *request, struct aub_answer *answer)
{
	aub_dispatch_callback *callback = request->callback;
	void *context = request->context;

	answer->id = request->id;
	request->call = NULL;
	free_if_done(request);
	callback(answer, context);
}

static struct aub_answer *take_answer(struct request *request, guint32 number)
{
	struct aub_answer *answer;

	for (gsize i = 0; i < G_N_ELEMENTS(request->answers); i++) {
		if (request->answer_attempts[i] != number)
			continue;
		answer = request->answers[i];
		request->answers[i] = NULL;
		return answer;
	}
	return NULL;
}

static void store_answer(struct request *request, guint32 number,
			 struct aub_answer *answer)
{
	gsize slot = request->answers[0] ? 1 : 0;

	aub_message_free((struct aub_message *)request->answers[slot]);
	request->answers[slot] = answer;
	request->answer_attempts[slot] = number;
}

static void record_event(const struct attempt *attempt,
			 enum aub_event_type type, gint64 number,
			 const char *text)
{
	aub_event_record_simple(attempt->request->service->task->options.events,
				type, attempt->request->id, number,
				attempt->upstream, text);
}

static const char *const result_names[] = {
	[AUB_ATTEMPT_ANSWERED] = "answered",
	[AUB_ATTEMPT_SHED] = "shed",
	[AUB_ATTEMPT_NOT_CONNECTED] = "not-connected",
	[AUB_ATTEMPT_CONNECTION_LOST] = "lost",
	[AUB_ATTEMPT_TIMEOUT] = "timeout",
	[AUB_ATTEMPT_CANCELLED] = "cancelled",
};

static void on_attempt_done(enum aub_attempt_result result,
			    const struct aub_upstream_signals *signals,
			    struct aub_answer *answer, const GError *error,
			    void *context)
{
	struct attempt *attempt = context;
	struct request *request = attempt->request;
	struct service *service = request->service;
	struct aub_dispatch_task *task = service->task;
	guint32 number = attempt->number;

	if (result == AUB_ATTEMPT_ANSWERED)
		record_event(attempt, AUB_EVENT_ANSWERED, answer->status, NULL);
	else
		record_event(attempt,
			     result == AUB_ATTEMPT_CANCELLED ?
				     AUB_EVENT_CANCELLED :
				     AUB_EVENT_FAILED,
			     number, result_names[result]);
	if (answer && request->call)
		store_answer(request, number, answer);
	else
		aub_message_free((struct aub_message *)answer);
	g_ptr_array_remove_fast(request->attempts, attempt);
	g_hash_table_remove(task->attempts, attempt);
	g_free(attempt);
	aub_dispatcher_attempt_done(service->dispatcher, request->id, number,
				    result, signals, now(task));
	free_if_done(request);
	run_actions(service);
}

static struct request *find_request(const struct service *service, guint64 id)
{
	return g_hash_table_lookup(service->requests, &id);
}

static void send_attempt(struct service *service, struct request *request,
			 const struct aub_action *action)
{
	struct aub_dispatch_task *task = service->task;
	const char *name =
		aub_upstream_at(service->inventory, action->upstream)->name;
	struct aub_upstream_client *client;
	struct attempt *attempt;
	bool is_retry = action->attempt > 1;

	client = aub_upstream_set_find(task->upstreams, name);
	attempt = g_new0(struct attempt, 1);
	attempt->request = request;
	attempt->number = action->attempt;
	g_strlcpy(attempt->upstream, name, sizeof(attempt->upstream));
	g_ptr_array_add(request->attempts, attempt);
	g_hash_table_add(task->attempts, attempt);
	if (action->hedge)
		record_event(attempt, AUB_EVENT_HEDGED, action->attempt, NULL);
	else if (is_retry)
		record_event(attempt, AUB_EVENT_RETRIED, action->attempt, NULL);
	record_event(attempt, AUB_EVENT_DISPATCHED, action->attempt,
		     request->at_most_once ? "once" : NULL);
	attempt->handle =
		aub_upstream_send(client, request->call, is_retry,
				  action->timeout_us, on_attempt_done, attempt);
}

static void cancel_attempt(struct request *request, guint32 number)
{
	for (guint i = 0; i < request->attempts->len; i++) {
		struct attempt *attempt = request->attempts->pdata[i];

		if (attempt->number == number)
			aub_attempt_cancel(attempt->handle);
	}
}

static void on_probed(const struct aub_probe_report *report, void *context)
{
	struct aub_dispatch_task *task = context;
	struct service *service =
		g_hash_table_lookup(task->services, report->service);
	guint16 upstream;

	if (!service || service->inventory != report->inventory)
		return;
	aub_event_record_simple(task->options.events, AUB_EVENT_PROBED, 0,
				report->busy, report->upstream,
				report->answered ? "answered" : "failed");
	upstream = aub_inventory_upstream(service->inventory, report->upstream);
	if (upstream == AUB_NO_HANDLE)
		return;
	aub_dispatcher_probe_done(service->dispatcher, upstream,
				  report->answered, report->signals,
				  report->busy, now(task));
	run_actions(service);
}

static void send_probe(struct service *service, const struct aub_action *action)
{
	struct aub_dispatch_task *task = service->task;

	aub_metrics_add(task->options.metrics, service->probe_counter, 1);
	aub_probes_send(task->probes, service->name, service->inventory,
			action->upstream, action->timeout_us);
}

static void execute_action(struct service *service,
			   const struct aub_action *action)
{
	struct request *request;

	if (action->type == AUB_ACTION_PROBE) {
		send_probe(service, action);
		return;
	}
	request = find_request(service, action->request);
	if (!request)
		return;
	if (action->type == AUB_ACTION_CANCEL) {
		cancel_attempt(request, action->attempt);
		return;
	}
	if (!request->call)
		return;
	switch (action->type) {
	case AUB_ACTION_SEND:
		send_attempt(service, request, action);
		break;
	case AUB_ACTION_REFUSE:
		aub_event_record_simple(service->task->options.events,
					AUB_EVENT_REFUSED, request->id,
					action->retry_after_ms, NULL,
					aub_refusal_name(action->refusal));
		deliver(request, aub_answer_refusal(action->refusal,
						    action->retry_after_ms));
		break;
	case AUB_ACTION_UNKNOWN:
		deliver(request, aub_answer_outcome_unknown("upstream-lost"));
		break;
	case AUB_ACTION_DELIVER: {
		struct aub_answer *answer;

		answer = take_answer(request, action->attempt);
		deliver(request,
			answer ? answer :
				 aub_answer_outcome_unknown("upstream-lost"));
		break;
	}
	default:
		break;
	}
}

static void on_dispatcher_timer(void *context, gint64 now_us)
{
	struct service *service = context;

	service->timer = 0;
	service->timer_us = 0;
	aub_dispatcher_tick(service->dispatcher, now_us);
	run_actions(service);
}

static void set_timer(struct service *service)
{
	struct aub_timer_service *timers = service->task->options.timers;
	gint64 wake_us = aub_dispatcher_next_wakeup_us(service->dispatcher);

	if (wake_us == service->timer_us)
		return;
	aub_timer_cancel(timers, service->timer);
	service->timer = 0;
	service->timer_us = wake_us;
	if (wake_us > 0 && wake_us < G_MAXINT64)
		service->timer = aub_timer_at(timers, "dispatcher", wake_us,
					      on_dispatcher_timer, service);
}

static void run_actions(struct service *service)
{
	struct aub_action action;

	if (service->running_actions)
		return;
	service->running_actions = true;
	while (aub_dispatcher_next_action(service->dispatcher, &action))
		execute_action(service, &action);
	service->running_actions = false;
	set_timer(service);
	aub_metrics_set(service->task->options.metrics, service->queue_gauge,
			aub_dispatcher_queued(service->dispatcher));
}

static void refuse_immediately(const struct aub_call *call,
			       aub_dispatch_callback *callback, void *context)
{
	struct aub_answer *answer;

	answer = aub_answer_refusal(AUB_REFUSAL_NOT_OWNER, NOT_OWNER_RETRY_MS);
	answer->id = call->id;
	callback(answer, context);
}

void aub_dispatch_task_submit(struct aub_dispatch_task *task,
			      const struct aub_call *call, const char *zone,
			      aub_dispatch_callback *callback, void *context)
{
	gint64 now_us = now(task);
	struct aub_dispatch_request arrival = {
		.id = call->id,
		.deadline_us = now_us + call->deadline_ms * AUB_MS,
		.at_most_once = call->at_most_once,
		.retry_budget = call->retry_budget,
		.fingerprint = aub_call_fingerprint(call),
		.zone = zone,
	};
	struct service *service;
	struct request *request;

	service = g_hash_table_lookup(task->services, call->service);
	if (!service || service->removed || find_request(service, call->id)) {
		refuse_immediately(call, callback, context);
		return;
	}
	request = g_new0(struct request, 1);
	request->service = service;
	request->call = call;
	request->id = call->id;
	request->at_most_once = call->at_most_once;
	request->attempts = g_ptr_array_new();
	request->callback = callback;
	request->context = context;
	g_hash_table_insert(service->requests, &request->id, request);
	aub_dispatcher_submit(service->dispatcher, &arrival, now_us);
	run_actions(service);
}

bool aub_dispatch_task_abandon(struct aub_dispatch_task *task, const char *name,
			       guint64 id)
{
	struct service *service = g_hash_table_lookup(task->services, name);
	struct request *request;

	if (!service)
		return false;
	request = find_request(service, id);
	if (!request || !request->call)
		return false;
	request->call = NULL;
	aub_dispatcher_abandon(service->dispatcher, id, now(task));
	run_actions(service);
	request = find_request(service, id);
	if (request)
		free_if_done(request);
	return true;
}

void aub_dispatch_task_stop(struct aub_dispatch_task *task)
{
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, task->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service *service = value;

		aub_dispatcher_stop(service->dispatcher, now(task));
		run_actions(service);
	}
}

guint aub_dispatch_task_pending(const struct aub_dispatch_task *task)
{
	GHashTableIter iterator;
	guint pending = 0;
	void *value;

	g_hash_table_iter_init(&iterator, task->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service *service = value;

		pending += g_hash_table_size(service->requests);
	}
	return pending;
}

char *aub_dispatch_task_status(const struct aub_dispatch_task *task)
{
	JsonBuilder *builder = aub_dispatch_status_begin();
	GHashTableIter iterator;
	void *value;

	g_hash_table_iter_init(&iterator, task->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct service *service = value;

		aub_dispatch_status_build(builder, service->name, service->role,
					  service->dispatcher);
	}
	return aub_dispatch_status_end(builder);
}

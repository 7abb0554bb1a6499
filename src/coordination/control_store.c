/*
 * Access to the platform's store: watches it while this control has that duty,
 * and proposes assignments by conditional writes.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/log.h>

#include <string.h>

#define STORE_PREFIX "auburnstile/"
#define CALL_TIMEOUT_MS 1000
#define WATCH_WAIT_MS 500 /* confirms the current version twice a second */
#define CALLS_PER_S_MAX 10
/* Interval between computations of a proposal, at rank 0. */
#define PROPOSE_INTERVAL_US ((gint64)250000)
/* Added to the interval for each further rank. */
#define PROPOSE_RANK_DELAY_US ((gint64)500000)
/* Interval between moves that only balance load. */
#define REBALANCE_INTERVAL_US ((gint64)5000000)
#define BACKOFF_MIN_US ((gint64)500000)
#define BACKOFF_MAX_US ((gint64)8000000)

struct aubi_store_task {
	struct aubi_control *control;
	struct aub_store_client *client;
	bool watching;
	gint64 watch_requested_us; /* not later than the open watch request */
	/* Seen in the store, whether or not it parsed. */
	guint64 newest_config_version;
	bool dirty; /* members, configuration or assignments changed */
	gint64 computed_us;
	gint64 needed_us; /* since when a change is needed; 0: none */
	gint64 rebalanced_us;
	gint64 retry_after_us; /* backoff after a failed write */
	gint64 backoff_us;
	bool writing;
	struct aubi_assignments *proposal; /* being written */
	char *json; /* its JSON */
};

static void adopt_object(struct aubi_store_task *task,
			 const struct aub_store_object *object)
{
	struct aubi_control *control = task->control;

	if (!strcmp(object->key, AUB_CONFIG_KEY)) {
		task->newest_config_version =
			MAX(task->newest_config_version, object->version);
		aubi_control_adopt_config(control, object->value,
					  object->length, object->version,
					  "store");
	} else if (!strcmp(object->key, AUBI_ASSIGNMENTS_KEY)) {
		aubi_control_adopt_assignments(control, object->value,
					       object->length, object->version,
					       "store");
	}
}

static void on_watch(const struct aub_store_object *object, guint64 version,
		     const GError *error, void *context)
{
	struct aubi_store_task *task = context;
	struct aubi_control *control = task->control;
	gint64 now_us = aub_timer_now(control->timers);

	aubi_control_store_result(control, error);
	if (error) {
		task->watch_requested_us = now_us;
		return;
	}
	if (object) {
		adopt_object(task, object);
		return;
	}
	/*
	 * The answer may have waited in a buffer while this process was paused,
	 * and stale data would pass for fresh. The confirmation therefore
	 * counts from the time the previous watch was answered, which is not
	 * later than this watch's request.
	 */
	if (version >= control->agreement.config_version &&
	    task->watch_requested_us)
		aubi_agreement_confirm(&control->agreement,
				       MAX(control->agreement.config_version,
					   task->newest_config_version),
				       task->watch_requested_us);
	task->watch_requested_us = now_us;
}

static void set_watching(struct aubi_store_task *task, bool wanted)
{
	const struct aubi_agreement *agreement = &task->control->agreement;

	if (wanted == task->watching)
		return;
	task->watching = wanted;
	if (!wanted) {
		aub_store_watch_stop(task->client);
		return;
	}
	aub_log_info("watching the store");
	task->watch_requested_us = aub_timer_now(task->control->timers);
	aub_store_watch_start(task->client, STORE_PREFIX,
			      MIN(agreement->config_version, agreement->epoch),
			      on_watch, task);
}

static void on_reread(const struct aub_store_object *object,
		      const GError *error, void *context)
{
	struct aubi_store_task *task = context;

	aubi_control_store_result(task->control, error);
	task->writing = false;
	task->dirty = true;
	if (object)
		adopt_object(task, object);
}

static void back_off(struct aubi_store_task *task, gint64 now_us)
{
	task->backoff_us =
		CLAMP(task->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	task->retry_after_us = now_us + task->backoff_us;
}

static void on_proposed(guint64 version, const GError *error, void *context)
{
	struct aubi_store_task *task = context;
	struct aubi_control *control = task->control;

	aubi_control_store_result(control, error);
	g_clear_pointer(&task->proposal, aubi_assignments_free);
	if (error) {
		aub_log_info("assignments not written: %s", error->message);
		back_off(task, aub_timer_now(control->timers));
		aub_store_get(task->client, AUBI_ASSIGNMENTS_KEY, on_reread,
			      task);
	} else {
		task->writing = false;
		task->backoff_us = 0;
		aubi_control_adopt_assignments(control, task->json,
					       strlen(task->json), version,
					       "own proposal");
	}
	g_clear_pointer(&task->json, g_free);
}

static void write_proposal(struct aubi_store_task *task,
			   struct aubi_assignments *proposal)
{
	struct aubi_control *control = task->control;
	char *change;

	change = g_strdup_printf("%s-%08x%08x", control->settings->name,
				 g_random_int(), g_random_int());
	task->proposal = proposal;
	task->json = aubi_assignments_serialize(proposal, change);
	task->writing = true;
	aub_metrics_add(control->metrics, control->series_proposals, 1);
	aub_store_put(task->client, AUBI_ASSIGNMENTS_KEY, task->json,
		      strlen(task->json), control->assignments->epoch, change,
		      on_proposed, task);
	g_free(change);
}

static struct aubi_assignments *compute_proposal(struct aubi_store_task *task,
						 bool rebalance, gint64 now_us)
{
	struct aubi_control *control = task->control;
	const struct aub_config *config =
		aubi_config_history_current(control->history);
	struct aubi_assignments *proposal;
	GPtrArray *members;

	members = aubi_membership_list(control->membership, now_us);
	proposal =
		aubi_ownership_propose(control->assignments, control->inventory,
				       config->vms_leaving, members, rebalance);
	g_ptr_array_unref(members);
	return proposal;
}

/* Proposes assignments if a majority is reachable, in order of rank. */
static void propose(struct aubi_store_task *task, gint64 now_us)
{
	struct aubi_control *control = task->control;
	guint rank = aubi_control_rank(control, false, now_us);
	struct aubi_assignments *proposal;
	bool rebalance;

	if (task->writing || now_us < task->retry_after_us)
		return;
	if (now_us - task->computed_us <
	    PROPOSE_INTERVAL_US + rank * PROPOSE_RANK_DELAY_US)
		return;
	rebalance = now_us - task->rebalanced_us >= REBALANCE_INTERVAL_US;
	if (!task->dirty && !task->needed_us && !rebalance)
		return;
	task->computed_us = now_us;
	task->dirty = false;
	if (rebalance)
		task->rebalanced_us = now_us;
	proposal = compute_proposal(task, rebalance && rank == 0, now_us);
	if (!proposal) {
		task->needed_us = 0;
		return;
	}
	if (!task->needed_us)
		task->needed_us = now_us;
	if (aubi_ownership_is_turn(rank, task->needed_us, now_us) &&
	    aubi_agreement_can_accept_changes(control->membership, now_us))
		write_proposal(task, proposal);
	else
		aubi_assignments_free(proposal);
}

void aubi_store_task_members_changed(struct aubi_store_task *task)
{
	if (task)
		task->dirty = true;
}

void aubi_store_task_tick(struct aubi_store_task *task, gint64 now_us)
{
	struct aubi_control *control = task->control;
	guint rank = aubi_control_rank(control, true, now_us);
	bool retired = control->leaving ||
		       aubi_membership_superseded(control->membership);
	bool wanted;

	wanted = aubi_agreement_should_watch_store(&control->agreement,
						   control->membership, rank,
						   now_us);
	set_watching(task, wanted && !retired);
	if (control->inventory && !retired &&
	    now_us - control->agreement.started_us > 2 * AUB_SECOND)
		propose(task, now_us);
}

struct aub_store_client *aubi_store_task_client(struct aubi_store_task *task)
{
	return task->client;
}

struct aubi_store_task *aubi_store_task_new(struct aubi_control *control)
{
	struct aubi_store_task *task = g_new0(struct aubi_store_task, 1);
	struct aub_store_client_options options = {
		.url = control->settings->store,
		.timeout_ms = CALL_TIMEOUT_MS,
		.watch_wait_ms = WATCH_WAIT_MS,
		.calls_per_s = CALLS_PER_S_MAX,
		.seed = (guint32)control->incarnation,
	};

	task->control = control;
	task->client = aub_store_client_new(&options);
	task->dirty = true;
	return task;
}

void aubi_store_task_free(struct aubi_store_task *task)
{
	if (!task)
		return;
	aub_store_client_free(task->client);
	aubi_assignments_free(task->proposal);
	g_free(task->json);
	g_free(task);
}

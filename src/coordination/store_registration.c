/*
 * This gateway's record in the store, for gateways whose seeds are all
 * unavailable.
 */
#include <auburnstile/internal/store_sync_internal.h>

static void send_registration(struct aub_store_sync *sync);

static void on_registration_timer(void *context, gint64 now_us)
{
	struct aub_store_sync *sync = context;

	sync->registration_timer = 0;
	send_registration(sync);
}

/*
 * Each gateway registers before it lists the others: of two that start
 * concurrently, at least one finds the other, which then learns of it by
 * heartbeat.
 */
static void on_registered(enum aub_exchange_result end,
			  const struct aub_http_head *head, const char *body,
			  gsize length, void *context)
{
	struct aub_store_sync *sync = context;
	struct aub_timer_service *timers = sync->options.timers;

	sync->registration_call = NULL;
	aub_store_count_result(sync, AUB_STORE_MEMBERS,
			       aub_store_result_from_head(end, head));
	if (end == AUB_EXCHANGE_COMPLETE &&
	    (head->status / 100 == 2 || head->status == 409)) {
		aub_store_sync_list_members(sync);
		return;
	}
	sync->registration_timer =
		aub_timer_at(timers, "enrol",
			     aub_timer_now(timers) + AUB_STORE_RETRY_MAX_US +
				     g_random_int_range(0,
							AUB_STORE_RETRY_MAX_US),
			     on_registration_timer, sync);
}

static void send_registration(struct aub_store_sync *sync)
{
	char *path = sync->options.platform->create_path(AUB_STORE_MEMBERS);
	const struct aub_http_call_options options = {
		.method = "POST",
		.address = sync->address,
		.pool_name = "enrol",
		.path = path,
		.body = sync->record,
		.content_type = sync->options.platform->content_type,
		.timeout_ms = AUB_STORE_CALL_TIMEOUT_MS,
	};

	sync->registration_call =
		aub_http_call_new(sync->options.client, &options, on_registered,
				  sync);
	g_free(path);
}

void aub_store_sync_register(struct aub_store_sync *sync, const char *name,
			     const struct aub_member_record *member)
{
	sync->name = g_strdup(name);
	sync->record = sync->options.platform->member_body(name, member);
	send_registration(sync);
}

static void on_deregistered(enum aub_exchange_result end,
			    const struct aub_http_head *head, const char *body,
			    gsize length, void *context)
{
	struct aub_store_sync *sync = context;

	sync->registration_call = NULL;
	aub_store_count_result(sync, AUB_STORE_MEMBERS,
			       aub_store_result_from_head(end, head));
}

void aub_store_sync_deregister(struct aub_store_sync *sync)
{
	struct aub_http_call_options options = {
		.method = "DELETE",
		.address = sync->address,
		.pool_name = "enrol",
		.timeout_ms = AUB_STORE_CALL_TIMEOUT_MS,
	};

	char *path;

	aub_http_call_cancel(sync->registration_call);
	sync->registration_call = NULL;
	if (!sync->name)
		return;
	path = sync->options.platform->object_path(AUB_STORE_MEMBERS,
						   sync->name);
	options.path = path;
	sync->registration_call =
		aub_http_call_new(sync->options.client, &options,
				  on_deregistered, sync);
	g_free(path);
}

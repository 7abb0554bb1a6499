/* Creates the components of an entry and connects their callbacks. */
#include <auburnstile/error.h>
#include <auburnstile/incarnation.h>
#include <auburnstile/internal/addresses.h>
#include <auburnstile/internal/entry_internal.h>
#include <auburnstile/internal/program.h>
#include <auburnstile/log.h>

#include <sys/resource.h>

#define HEADER_TIMEOUT_MS 10000
/* Between messages with upstream states; their maximum age at a stand-by. */
#define STATES_INTERVAL_US (250 * AUB_MS)
#define IDLE_TIMEOUT_MS 60000
#define BODY_TIMEOUT_MS 30000
#define WRITE_TIMEOUT_MS 30000
#define KEY_RETENTION_MAX_S G_GINT64_CONSTANT(604800) /* one week */
/* Limit of a request body if no service is known for its path. */
#define BODY_DEFAULT_MAX_BYTES (1u << 20)

#define FIELD(name) offsetof(struct aub_entry_settings, name)

const struct aub_setting aub_entry_setting_table[] = {
	AUBI_PROGRAM_SETTINGS(struct aub_entry_settings),
	{ .key = "callers",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(callers),
	  .required = true,
	  .help = "address for callers" },
	{ .key = "inner",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(inner),
	  .required = true,
	  .help = "address for other entries" },
	{ .key = "admin",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(admin),
	  .required = true,
	  .help = "address for metrics, health and operators" },
	{ .key = "control",
	  .type = AUB_SETTING_ADDRESS,
	  .offset = FIELD(control),
	  .required = true,
	  .help = "inner address of this VM's control" },
	{ .key = "policy",
	  .type = AUB_SETTING_STRING,
	  .offset = FIELD(policy),
	  .default_value = "auburnstile",
	  .help = "load balancing policy; others are baselines" },
	{ .key = "key_mb",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(key_mb),
	  .minimum = 1,
	  .maximum = 4096,
	  .default_value = "128",
	  .help = "memory for keys and cached answers, MB" },
	{ .key = "key_keep_s",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(key_keep_s),
	  .minimum = 1,
	  .maximum = KEY_RETENTION_MAX_S,
	  .default_value = "1200",
	  .help = "time a key is retained after its request ended, s" },
	{ .key = "connections",
	  .type = AUB_SETTING_INTEGER,
	  .offset = FIELD(connections),
	  .minimum = 1,
	  .maximum = 100000,
	  .default_value = "4000",
	  .help = "maximum number of open caller connections" },
	{ .key = NULL },
};

static void on_view_changed(void *context)
{
	struct aub_entry *entry = context;
	struct aub_inventory *inventory;

	inventory = aub_entry_view_inventory(entry->view);
	if (!inventory || !entry->relay)
		return;
	if (inventory != entry->inventory) {
		entry->inventory = inventory;
		aub_dispatch_task_configure(entry->dispatch, inventory);
	}
	aub_request_router_update_roles(entry->router);
}

static void on_states(const struct aub_upstream_states *states,
		      guint64 incarnation, void *context)
{
	struct aub_entry *entry = context;

	aub_request_router_receive_states(entry->router, states, incarnation);
}

static void on_send_states(void *context, gint64 now_us)
{
	struct aub_entry *entry = context;

	aub_request_router_send_states(entry->router);
}

static void on_links_changed(void *context)
{
	struct aub_entry *entry = context;

	aub_request_router_update_roles(entry->router);
}

static bool is_member_incarnation(guint64 incarnation, void *context)
{
	struct aub_entry *entry = context;

	return aub_entry_view_member(entry->view, incarnation) != NULL;
}

static void on_relay_arrived(struct aub_relay_inbound *inbound,
			     struct aub_call *call, void *context)
{
	struct aub_entry *entry = context;

	aub_request_router_relay_arrived(inbound, call, entry->router);
}

static void on_relay_cancelled(struct aub_relay_inbound *inbound, void *context)
{
	struct aub_entry *entry = context;

	aub_request_router_relay_cancelled(inbound, entry->router);
}

static void on_keys(const struct aub_keys *keys, void *context)
{
	struct aub_entry *entry = context;

	aub_idempotency_import(entry->idempotency, keys);
}

static void on_keys_ack(const struct aub_keys_ack *ack, void *context)
{
	struct aub_entry *entry = context;

	aub_idempotency_acknowledged(entry->idempotency, ack);
}

static void on_caller_request(struct aub_caller_request *request,
			      struct aub_call *call, void *context)
{
	struct aub_entry *entry = context;

	aub_request_router_caller_arrived(request, call, entry->router);
}

static void on_caller_disconnected(struct aub_caller_request *request,
				   void *context)
{
	struct aub_entry *entry = context;

	aub_request_router_caller_disconnected(request, entry->router);
}

static guint32 body_limit(const char *path, void *context)
{
	struct aub_entry *entry = context;
	const struct aub_inventory *inventory;
	guint16 service;

	inventory = aub_entry_view_inventory(entry->view);
	if (!inventory)
		return BODY_DEFAULT_MAX_BYTES;
	service = aub_inventory_route(inventory, path);
	if (service == AUB_NO_HANDLE)
		return BODY_DEFAULT_MAX_BYTES;
	return aub_service_at(inventory, service)->body_limit;
}

static guint64 random_number(void)
{
	return (guint64)g_random_int() << 32 | g_random_int();
}

static char *addresses(const char *service, const char *path, guint *status,
		       void *context)
{
	struct aub_entry *entry = context;
	struct aub_addresses_options options = {
		.view = entry->view,
		.self = entry->hello,
		.stopping = entry->phase != ENTRY_RUNNING ||
			    (!entry->local_only &&
			     !aub_entry_view_serving(entry->view)),
		.local_only = entry->local_only,
		.wall_s = g_get_real_time() / AUB_SECOND,
		.random = random_number(),
	};

	return aub_addresses_json(&options, service, path, status);
}

static bool is_ready(void *context)
{
	struct aub_entry *entry = context;

	return entry->phase == ENTRY_RUNNING &&
	       aub_entry_view_serving(entry->view);
}

static void on_dispatch_status(struct aub_admin_request *request, void *context)
{
	struct aub_entry *entry = context;

	aub_admin_respond(request, 200,
			  aub_dispatch_task_status(entry->dispatch));
}

static gint64 processor_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_utime.tv_sec * AUB_SECOND + usage.ru_utime.tv_usec +
	       usage.ru_stime.tv_sec * AUB_SECOND + usage.ru_stime.tv_usec;
}

static void update_load(void *context, gint64 now_us)
{
	struct aub_entry *entry = context;
	gint64 processor_time_us = processor_us();
	gint64 permille = (processor_time_us - entry->processor_time_us) *
			  1000 / AUB_SECOND;

	entry->processor_time_us = processor_time_us;
	aub_entry_view_set_load(entry->view, CLAMP(permille, 0, 1000));
}

static struct aub_hello *make_hello(const struct aub_entry_settings *settings)
{
	struct aub_hello *hello;

	hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
	hello->role = AUB_ROLE_ENTRY;
	hello->incarnation = aub_incarnation_new();
	aub_string_set(&hello->name, settings->name);
	aub_string_set(&hello->zone, settings->zone);
	aub_string_set(&hello->address, settings->inner);
	aub_string_set(&hello->callers_address, settings->callers);
	aub_string_set(&hello->admin_address, settings->admin);
	return hello;
}

static void create_components(struct aub_entry *entry, int policy, guint32 seed)
{
	const struct aub_entry_settings *settings = entry->settings;

	entry->dispatch =
		aub_dispatch_task_new(&(struct aub_dispatch_task_options){
			.policy = policy,
			.seed = seed,
			.timers = entry->timers,
			.events = entry->events,
			.metrics = entry->metrics,
		});
	entry->idempotency =
		aub_idempotency_new(&(struct aub_idempotency_options){
			.name = settings->name,
			.zone = settings->zone,
			.incarnation = entry->hello->incarnation,
			.max_bytes = (gsize)settings->key_mb << 20,
			.retention_us = settings->key_keep_s * AUB_SECOND,
			.view = entry->view,
			.timers = entry->timers,
			.events = entry->events,
		});
	entry->router = aub_request_router_new(&(
		struct aub_request_router_options){
		.hello = entry->hello,
		.view = entry->view,
		.idempotency = entry->idempotency,
		.dispatch = entry->dispatch,
		.timers = entry->timers,
		.events = entry->events,
		.metrics = entry->metrics,
		.first_id = random_number() & G_GUINT64_CONSTANT(~0xffffff),
		.local_only = entry->local_only,
	});
}

static bool listen_entries(struct aub_entry *entry, GError **error)
{
	entry->relay = aub_relay_new(
		&(struct aub_relay_options){
			.hello = entry->hello,
			.timers = entry->timers,
			.events = entry->events,
			.is_member = is_member_incarnation,
			.arrived = on_relay_arrived,
			.cancelled = on_relay_cancelled,
			.keys = on_keys,
			.keys_ack = on_keys_ack,
			.states = on_states,
			.changed = on_links_changed,
			.context = entry,
		},
		error);
	if (entry->relay)
		aub_request_router_set_relay(entry->router, entry->relay);
	return entry->relay;
}

static bool listen_callers(struct aub_entry *entry, GError **error)
{
	const struct aub_entry_settings *settings = entry->settings;

	entry->callers = aub_caller_server_new(
		&(struct aub_caller_server_options){
			.address = settings->callers,
			.connections_max = settings->connections,
			.header_timeout_ms = HEADER_TIMEOUT_MS,
			.idle_timeout_ms = IDLE_TIMEOUT_MS,
			.body_timeout_ms = BODY_TIMEOUT_MS,
			.write_timeout_ms = WRITE_TIMEOUT_MS,
			.timers = entry->timers,
			.arrived = on_caller_request,
			.disconnected = on_caller_disconnected,
			.body_limit = body_limit,
			.addresses = addresses,
			.context = entry,
		},
		error);
	if (!entry->callers)
		return false;
	entry->admin = aub_admin_new(
		&(struct aub_admin_options){
			.address = settings->admin,
			.token_file = settings->token_file,
			.process = settings->name,
			.incarnation = entry->hello->incarnation,
			.metrics = entry->metrics,
			.events = entry->events,
			.ready = is_ready,
			.context = entry,
		},
		error);
	if (!entry->admin)
		return false;
	aub_admin_handle(entry->admin, "GET", "/v1/dispatch",
			 on_dispatch_status, entry);
	return true;
}

struct aub_entry *aub_entry_new(const struct aub_entry_settings *settings,
				GError **error)
{
	int policy = aub_policy_parse(settings->policy);
	struct aub_entry *entry;

	if (policy < 0) {
		aub_error_set(error, AUB_ERROR_INVALID, "read settings",
			      "policy", "\"%s\" is not a policy",
			      settings->policy);
		return NULL;
	}
	entry = g_new0(struct aub_entry, 1);
	entry->settings = settings;
	entry->local_only = policy != AUB_POLICY_AUBURNSTILE;
	entry->hello = make_hello(settings);
	entry->timers = aub_timer_service_new(NULL);
	entry->events = aub_event_ring_new(settings->event_capacity);
	entry->metrics = aub_metrics_new();
	entry->view = aub_entry_view_new(&(struct aub_entry_view_options){
		.control = settings->control,
		.hello = entry->hello,
		.timers = entry->timers,
		.events = entry->events,
		.changed = on_view_changed,
		.context = entry,
	});
	create_components(entry, policy,
			  settings->seed ? (guint32)settings->seed :
					   g_random_int());
	if (!listen_entries(entry, error) || !listen_callers(entry, error)) {
		aub_entry_free(entry);
		return NULL;
	}
	entry->load_timer = aub_timer_every(entry->timers, "second", AUB_SECOND,
					    update_load, entry);
	entry->states_timer =
		aub_timer_every(entry->timers, "states", STATES_INTERVAL_US,
				on_send_states, entry);
	aub_event_record_simple(entry->events, AUB_EVENT_STARTED, 0,
				(gint64)entry->hello->incarnation, NULL, NULL);
	return entry;
}

void aub_entry_free(struct aub_entry *entry)
{
	if (!entry)
		return;
	aub_timer_cancel(entry->timers, entry->load_timer);
	aub_timer_cancel(entry->timers, entry->states_timer);
	aub_timer_cancel(entry->timers, entry->stop_timer);
	aub_admin_free(entry->admin);
	aub_caller_server_free(entry->callers);
	aub_relay_free(entry->relay);
	aub_request_router_free(entry->router);
	aub_dispatch_task_free(entry->dispatch);
	aub_idempotency_free(entry->idempotency);
	aub_entry_view_free(entry->view);
	aub_metrics_free(entry->metrics);
	aub_event_ring_free(entry->events);
	aub_timer_service_free(entry->timers);
	aub_message_free(&entry->hello->base);
	g_free(entry);
}

/*
 * soak: gateways as real processes under random faults from outside.
 *
 * The store, the upstreams and the callers live in this process, gateways are
 * children. Signals kill, stop, pause and reload them; the store and the
 * upstreams misbehave; a proxy before each upstream delays, silences and
 * refuses. All of it comes from one seed, in series and overlapping.
 *
 * Checked while it runs, from what callers and upstreams see:
 *   TWICE    what may run once ran twice
 *   REFUSED  "not run" was said of a request that ran, before or after
 *   MIXED    an answer is not the caller's own, or not whole
 *   DENIED   a proper request was denied
 *   DRAIN    a draining upstream got something new, seconds after
 *   RECOVER  with the faults over, requests are not served
 */
#include "common/child.h"
#include "common/tool.h"
#include "platform/store.h"
#include "platform/upstream.h"
#include "proxy/proxy.h"

#include <auburnstile/internal/tcp.h>

#include <argp.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#define GATEWAYS 5
#define FIRST_IP 10
#define PORTS 5 /* that a gateway listens on */
#define UPSTREAMS 8
#define CALLERS 12 /* fewer than the slots of one zone */
#define BODY_BYTES 500
#define WORK_MS 20
#define CALL_MS 3000 /* a caller's deadline */
#define THINK_MS 15
#define FAULT_GAP_MS 400 /* mean time between two faults */
#define CALM_MS 9000 /* at the end, without new faults */
#define SETTLED_MS 6000 /* of it, until the last fault has been mended */
#define DRAIN_US (3 * AUB_SECOND) /* from an entry's change to the last run */
#define SERVED_LEAST 0.9 /* of the calls once all is mended */

struct soak;

struct gateway {
	struct soak *soak;
	guint number;
	struct child *child;
	char *callers;
	char *settings;
	gint64 resume_us; /* paused until then; 0: running */
	gint64 restart_us; /* dead until then */
};

struct upstream {
	struct soak *soak;
	guint number;
	guint generation; /* a new id each time it is replaced */
	struct platform_upstream *it;
	struct proxy_route *route;
	char *id;
	gint64 draining_us; /* since when; 0: not */
	gint64 mend_us; /* its fault ends then; 0: none */
};

struct request {
	bool once;
	bool refused; /* the caller was told that it did not run */
	guint runs;
};

struct caller {
	struct soak *soak;
	struct aub_http_stream *stream;
	struct gateway *gateway;
	char *id;
	gint64 begun_us; /* of the call under way; 0: thinks */
	gint64 next_us;
	guint status;
	gsize body;
	char text[64]; /* how its body begins */
	bool mine;
};

struct soak {
	GRand *random;
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct platform_store *store;
	struct gateway gateways[GATEWAYS];
	struct upstream upstreams[UPSTREAMS];
	struct caller callers[CALLERS];
	GHashTable *requests; /* id -> struct request */
	char *folder;
	guint16 ports[PORTS];
	guint serial;
	guint version;
	gint64 store_mend_us; /* 0: it is well */
	gint64 store_well_us; /* since when, at the last mend */
	gint64 store_ill_us; /* since when, at the last fault */
	gint64 next_fault_us;
	gint64 calm_us; /* no fault begins later */
	bool zone_out;
	guint faults;
	guint calls;
	guint served;
	guint late_calls; /* once all was mended */
	guint late_served;
	guint broken;
};

static gint64 now_of(const struct soak *soak)
{
	return aub_timer_now(soak->timers);
}

static void broken(struct soak *soak, const char *rule, const char *id)
{
	soak->broken++;
	g_print("BROKEN %s: request %s, %.3f s before the calm\n", rule, id,
		(double)(soak->calm_us - now_of(soak)) / 1e6);
}

/* What upstreams see. */

/* For how long the store, while well, has told that `upstream` drains. */
static gint64 heard_us(const struct upstream *upstream)
{
	const struct soak *soak = upstream->soak;
	gint64 since_us = MAX(upstream->draining_us, soak->store_well_us);
	gint64 until_us =
		soak->store_mend_us ? soak->store_ill_us : now_of(soak);

	return until_us - since_us;
}

static void on_run(const char *id, void *context)
{
	struct upstream *upstream = context;
	struct soak *soak = upstream->soak;
	struct request *request = g_hash_table_lookup(soak->requests, id);

	if (!request)
		return;
	request->runs++;
	if (request->once && request->runs > 1)
		broken(soak, "TWICE", id);
	if (request->refused)
		broken(soak, "REFUSED (it ran later)", id);
	if (upstream->draining_us && heard_us(upstream) > DRAIN_US)
		broken(soak, "DRAIN", id);
}

static void upstream_enter(struct upstream *upstream, const char *state)
{
	char *address = g_strdup_printf("127.0.0.1:%u", upstream->route->port);
	char *text = g_strdup_printf(
		"{\"address\":\"%s\",\"details\":{\"service\":\"svc\","
		"\"version\":\"v1\",\"zone\":\"z%u\",\"slots\":4},\"status\":{"
		"\"state\":\"%s\",\"sequence\":1,\"warmup_left_ms\":0},"
		"\"born\":%u}",
		address, upstream->number % 2, state, upstream->generation);

	platform_store_put(upstream->soak->store, "servers", upstream->id,
			   text);
	g_free(text);
	g_free(address);
}

static void upstream_start(struct soak *soak, guint number)
{
	struct upstream *upstream = &soak->upstreams[number];
	GError *error = NULL;

	upstream->soak = soak;
	upstream->number = number;
	upstream->generation++;
	upstream->draining_us = 0;
	upstream->id = g_strdup_printf("u%u-%u", number, upstream->generation);
	upstream->it =
		platform_upstream_new(soak->poller, soak->timers, upstream->id);
	platform_upstream_set_body(upstream->it, BODY_BYTES);
	platform_upstream_set_work(upstream->it, WORK_MS);
	platform_upstream_on_run(upstream->it, on_run, upstream);
	upstream->route =
		proxy_route_new("127.0.0.1:0",
				platform_upstream_address(upstream->it),
				&error);
	if (!upstream->route)
		g_error("proxy: %s", error->message);
	upstream_enter(upstream, "ready");
}

static void upstream_end(struct upstream *upstream)
{
	platform_store_remove(upstream->soak->store, "servers", upstream->id);
	proxy_route_free(upstream->route);
	platform_upstream_free(upstream->it);
	g_free(upstream->id);
}

static void configure(struct soak *soak)
{
	char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":{\"columns\":[\"name\",\"host\","
		"\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
		"\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],"
		"\"rows\":[[\"r1\",\"site\",\"/safe/\",\"safe\",1500,300,2,"
		"null,2,\"svc\"],[\"r2\",\"site\",\"/once/\",\"unsafe\",1500,"
		"300,1,null,2,\"svc\"]]},\"services\":{\"columns\":[\"name\","
		"\"health_path\",\"max_conns\",\"protocol\",\"tls\","
		"\"warmup_s\",\"warmup_per_s\"],\"rows\":[[\"svc\","
		"\"/health\",220,\"h1\",false,3.0,20.0]]},\"limits\":{"
		"\"max_header_bytes\":4096,\"max_body_bytes\":1048576,"
		"\"header_timeout_ms\":1000,\"idle_timeout_ms\":3000}}",
		++soak->version);

	platform_store_put(soak->store, "config", "main", text);
	g_free(text);
}

/* Gateways. */

/*
 * Gateways know each other by IP number and one port for all: each has a
 * loopback number of its own. The first two are the seeds of all.
 */
static char *gateway_address(const struct gateway *gateway, guint port)
{
	return g_strdup_printf("127.0.1.%u:%u", FIRST_IP + gateway->number,
			       gateway->soak->ports[port]);
}

static void gateway_write(struct gateway *gateway)
{
	static const char *const names[PORTS] = {
		"callers", "directory", "readiness", "peers", "metrics",
	};
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text,
		"name = \"g%u\"\nzone = \"z%u\"\nstore = \"%s\"\n"
		"seeds = [\"127.0.1.%u:1\",\"127.0.1.%u:1\"]\n"
		"grace_s = 3\naddress_ms = 300\nretry_percent = 20\n"
		"retry_slack = 50\n",
		gateway->number, gateway->number % 2,
		platform_store_address(gateway->soak->store), FIRST_IP,
		FIRST_IP + 1);
	for (guint i = 0; i < PORTS; i++) {
		char *address = gateway_address(gateway, i);

		g_string_append_printf(text, "%s = \"%s\"\n", names[i],
				       address);
		g_free(address);
	}
	gateway->settings =
		g_strdup_printf("%s/g%u.toml", gateway->soak->folder,
				gateway->number);
	if (!g_file_set_contents(gateway->settings, text->str, -1, NULL))
		g_error("%s can't be written", gateway->settings);
	g_string_free(text, TRUE);
}

static void gateway_start(struct gateway *gateway)
{
	const char *const arguments[] = { "--settings", gateway->settings,
					  NULL };
	char *log = g_strdup_printf("%s/g%u.log", gateway->soak->folder,
				    gateway->number);
	GError *error = NULL;

	child_free(gateway->child);
	gateway->child = child_start("auburnstile-gateway", arguments, false,
				     log, &error);
	if (!gateway->child)
		g_error("%s", error->message);
	gateway->restart_us = 0;
	gateway->resume_us = 0;
	g_free(log);
}

/* Faults. */

static gint64 later(struct soak *soak, guint least_ms, guint most_ms)
{
	return now_of(soak) +
	       g_rand_int_range(soak->random, (gint)least_ms, (gint)most_ms) *
		       AUB_MS;
}

static void fault_gateway(struct soak *soak)
{
	struct gateway *gateway =
		&soak->gateways[g_rand_int_range(soak->random, 0, GATEWAYS)];

	if (gateway->restart_us || gateway->resume_us)
		return;
	switch (g_rand_int_range(soak->random, 0, 4)) {
	case 0:
		child_signal(gateway->child, SIGKILL);
		gateway->restart_us = later(soak, 50, 1500);
		break;
	case 1:
		child_signal(gateway->child, SIGTERM);
		gateway->restart_us = later(soak, 3100, 4000);
		break;
	case 2:
		child_signal(gateway->child, SIGSTOP);
		gateway->resume_us = later(soak, 100, 2000);
		break;
	default:
		child_signal(gateway->child, SIGHUP);
		break;
	}
}

static void fault_store(struct soak *soak)
{
	switch (g_rand_int_range(soak->random, 0, 4)) {
	case 0:
		platform_store_forget_history(soak->store);
		return;
	case 1:
		platform_store_set_delay(soak->store,
					 (guint)g_rand_int_range(soak->random,
								 10, 300));
		break;
	default:
		platform_store_set_fault(
			soak->store,
			(enum platform_store_fault)g_rand_int_range(
				soak->random, PLATFORM_STORE_BUSY,
				PLATFORM_STORE_NONSENSE + 1));
		break;
	}
	if (!soak->store_mend_us)
		soak->store_ill_us = now_of(soak);
	soak->store_mend_us = later(soak, 300, 3000);
}

static void fault_upstream(struct soak *soak)
{
	struct upstream *upstream =
		&soak->upstreams[g_rand_int_range(soak->random, 0, UPSTREAMS)];

	if (upstream->mend_us || upstream->draining_us)
		return;
	upstream->mend_us = later(soak, 300, 2500);
	switch (g_rand_int_range(soak->random, 0, 6)) {
	case 0:
		upstream->route->fault.delay_ms =
			(guint)g_rand_int_range(soak->random, 5, 400);
		break;
	case 1:
		upstream->route->fault.silent[PROXY_UP] = true;
		break;
	case 2:
		upstream->route->fault.silent[PROXY_DOWN] = true;
		break;
	case 3:
		platform_upstream_set_down(upstream->it, true);
		break;
	case 4:
		upstream->draining_us = now_of(soak);
		upstream->mend_us = later(soak, 4000, 6000);
		upstream_enter(upstream, "draining");
		break;
	default:
		platform_upstream_set_answer(
			upstream->it,
			(enum platform_answer)g_rand_int_range(
				soak->random, 0, PLATFORM_ANSWER_EARLY));
		break;
	}
}

static void upstream_mend(struct soak *soak, guint number)
{
	struct upstream *upstream = &soak->upstreams[number];

	/* Whatever it had, it comes back as a new incarnation. */
	upstream->mend_us = 0;
	upstream_end(upstream);
	upstream_start(soak, number);
}

static void zone_back(struct soak *soak)
{
	platform_store_remove(soak->store, "evacuations", "z1");
	soak->zone_out = false;
}

static void fault_operator(struct soak *soak)
{
	if (g_rand_boolean(soak->random)) {
		configure(soak);
		return;
	}
	if (soak->zone_out) {
		zone_back(soak);
		return;
	}
	platform_store_put(soak->store, "evacuations", "z1", "{}");
	soak->zone_out = true;
}

static void fault_begin(struct soak *soak)
{
	static void (*const faults[])(struct soak *) = {
		fault_gateway,	fault_gateway, fault_upstream,
		fault_upstream, fault_store,   fault_operator,
	};

	soak->faults++;
	faults[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(faults))](soak);
	soak->next_fault_us = later(soak, 1, 2 * FAULT_GAP_MS);
}

static void store_mend(struct soak *soak)
{
	platform_store_set_fault(soak->store, PLATFORM_STORE_WELL);
	platform_store_set_delay(soak->store, 0);
	soak->store_mend_us = 0;
	soak->store_well_us = now_of(soak);
}

static void mend_due(struct soak *soak, gint64 now_us)
{
	if (soak->store_mend_us && soak->store_mend_us <= now_us)
		store_mend(soak);
	for (guint i = 0; i < UPSTREAMS; i++)
		if (soak->upstreams[i].mend_us &&
		    soak->upstreams[i].mend_us <= now_us)
			upstream_mend(soak, i);
	for (guint i = 0; i < GATEWAYS; i++) {
		struct gateway *gateway = &soak->gateways[i];

		if (gateway->resume_us && gateway->resume_us <= now_us) {
			child_signal(gateway->child, SIGCONT);
			gateway->resume_us = 0;
		}
		if (gateway->restart_us && gateway->restart_us <= now_us)
			gateway_start(gateway);
	}
}

/* Callers. */

static void caller_hang_up(struct caller *caller)
{
	aub_http_stream_free(caller->stream);
	caller->stream = NULL;
}

static void call_end(struct caller *caller, bool served)
{
	struct soak *soak = caller->soak;
	gint64 now = now_of(soak);

	soak->calls++;
	soak->served += served;
	if (now > soak->calm_us + SETTLED_MS * AUB_MS) {
		soak->late_calls++;
		soak->late_served += served;
		if (!served)
			g_print("unserved: %u from g%u: %s\n", caller->status,
				caller->gateway->number, caller->text);
	}
	caller->begun_us = 0;
	caller->next_us = later(soak, 1, 2 * THINK_MS);
	g_clear_pointer(&caller->id, g_free);
}

static void on_head(const struct aub_http_head *head, void *context)
{
	struct caller *caller = context;
	const char *id = aub_http_head_find(head, "Request-Id");

	caller->status = head->status;
	caller->body = 0;
	caller->mine = caller->id && id && !strcmp(id, caller->id);
}

static void on_body(const char *data, gsize length, void *context)
{
	struct caller *caller = context;

	if (!caller->body)
		g_strlcpy(caller->text, data,
			  MIN(length + 1, sizeof(caller->text)));
	caller->body += length;
}

static void check_answer(struct caller *caller)
{
	struct soak *soak = caller->soak;
	struct request *request =
		g_hash_table_lookup(soak->requests, caller->id);

	if (!caller->mine)
		broken(soak, "MIXED (another's answer)", caller->id);
	if (caller->status == 200 && caller->body != BODY_BYTES)
		broken(soak, "MIXED (not whole)", caller->id);
	if (caller->status / 100 == 4 && caller->status != 408 &&
	    caller->status != 421 && caller->status != 429)
		broken(soak, "DENIED", caller->id);
	if (caller->status == 503) {
		request->refused = request->once;
		if (request->once && request->runs)
			broken(soak, "REFUSED (it had run)", caller->id);
	}
}

static void on_complete(void *context)
{
	struct caller *caller = context;

	if (!caller->begun_us) {
		broken(caller->soak, "MIXED (nobody asked)", "-");
		return;
	}
	check_answer(caller);
	call_end(caller, caller->status == 200);
	aub_http_stream_resume(caller->stream);
}

static void on_ended(enum aub_stream_end end, bool midway, void *context)
{
	struct caller *caller = context;

	caller_hang_up(caller);
	if (caller->begun_us)
		call_end(caller, false);
}

static const struct aub_http_callbacks caller_callbacks = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static bool caller_connect(struct caller *caller)
{
	struct soak *soak = caller->soak;
	int fd;

	caller->gateway =
		&soak->gateways[g_rand_int_range(soak->random, 0, GATEWAYS)];
	fd = aub_tcp_connect(caller->gateway->callers, NULL);
	if (fd < 0)
		return false;
	caller->stream =
		aub_http_stream_new(soak->poller, fd, HTTP_RESPONSE, true,
				    65536, &caller_callbacks, caller);
	return true;
}

static void call_begin(struct caller *caller)
{
	struct soak *soak = caller->soak;
	struct request *request = g_new0(struct request, 1);
	char *text;

	request->once = g_rand_boolean(soak->random);
	caller->id = g_strdup_printf("%x", ++soak->serial);
	caller->begun_us = now_of(soak);
	caller->status = 0;
	g_hash_table_insert(soak->requests, g_strdup(caller->id), request);
	text = g_strdup_printf("%s /%s/%s HTTP/1.1\r\nHost: site\r\n"
			       "Request-Id: %s\r\nDeadline-Remaining-Ms: %d\r\n"
			       "%s\r\n",
			       request->once ? "POST" : "GET",
			       request->once ? "once" : "safe", caller->id,
			       caller->id, CALL_MS,
			       request->once ? "Content-Length: 0\r\n" : "");
	aub_http_stream_write(caller->stream, text, strlen(text));
	aub_http_stream_flush(caller->stream);
	g_free(text);
}

static void caller_turn(struct caller *caller, gint64 now_us)
{
	if (caller->begun_us) {
		if (now_us - caller->begun_us > CALL_MS * AUB_MS) {
			caller_hang_up(caller);
			call_end(caller, false);
		}
		return;
	}
	if (caller->next_us > now_us)
		return;
	if (!caller->stream && !caller_connect(caller))
		return;
	call_begin(caller);
}

static void on_turn(void *context, gint64 now_us)
{
	struct soak *soak = context;

	mend_due(soak, now_us);
	if (soak->zone_out && now_us >= soak->calm_us)
		zone_back(soak);
	if (now_us >= soak->next_fault_us && now_us < soak->calm_us)
		fault_begin(soak);
	for (guint i = 0; i < CALLERS; i++)
		caller_turn(&soak->callers[i], now_us);
}

static void soak_start(struct soak *soak, guint seconds)
{
	gint64 now;

	soak->timers = aub_timer_service_new(NULL);
	soak->poller = aub_poller_new();
	soak->store = platform_store_new(soak->poller, soak->timers);
	soak->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->folder = g_dir_make_tmp("auburnstile-soak-XXXXXX", NULL);
	configure(soak);
	for (guint i = 0; i < UPSTREAMS; i++)
		upstream_start(soak, i);
	for (guint i = 0; i < PORTS; i++)
		soak->ports[i] = child_free_port();
	for (guint i = 0; i < GATEWAYS; i++) {
		soak->gateways[i].soak = soak;
		soak->gateways[i].number = i;
		soak->gateways[i].callers =
			gateway_address(&soak->gateways[i], 0);
		gateway_write(&soak->gateways[i]);
		gateway_start(&soak->gateways[i]);
	}
	now = now_of(soak);
	for (guint i = 0; i < CALLERS; i++) {
		soak->callers[i].soak = soak;
		soak->callers[i].next_us = now + AUB_SECOND;
	}
	soak->next_fault_us = now + 2 * AUB_SECOND;
	soak->calm_us = now + seconds * AUB_SECOND;
}

static bool soak_report(struct soak *soak, guint32 seed)
{
	if (soak->late_served < SERVED_LEAST * soak->late_calls ||
	    !soak->late_calls)
		broken(soak, "RECOVER", "-");
	g_print("seed %u: %u faults, %u calls, %u served; after the faults "
		"%u of %u; %u broken\n",
		seed, soak->faults, soak->calls, soak->served,
		soak->late_served, soak->late_calls, soak->broken);
	if (soak->broken)
		g_print("logs are kept in %s\n", soak->folder);
	return soak->broken == 0;
}

static void soak_end(struct soak *soak)
{
	for (guint i = 0; i < CALLERS; i++)
		caller_hang_up(&soak->callers[i]);
	for (guint i = 0; i < GATEWAYS; i++) {
		char *log = g_strdup_printf("%s/g%u.log", soak->folder, i);

		child_free(soak->gateways[i].child);
		if (!soak->broken) {
			g_unlink(log);
			g_unlink(soak->gateways[i].settings);
		}
		g_free(log);
	}
	if (!soak->broken)
		g_rmdir(soak->folder);
}

struct arguments {
	guint seed;
	guint seconds;
	guint runs;
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct arguments *arguments = state->input;
	guint *value = key == 's' ? &arguments->seed :
		       key == 't' ? &arguments->seconds :
		       key == 'n' ? &arguments->runs :
				    NULL;
	guint64 number;

	if (!value)
		return ARGP_ERR_UNKNOWN;
	if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT32, &number,
					NULL))
		argp_error(state, "-%c wants a number", key);
	*value = (guint)number;
	return 0;
}

static bool soak_run(guint32 seed, guint seconds)
{
	struct soak soak = { .random = g_rand_new_with_seed(seed) };
	guint turn;
	bool good;

	soak_start(&soak, seconds);
	turn = aub_timer_every(soak.timers, "turn", 2 * AUB_MS, on_turn, &soak);
	while (now_of(&soak) < soak.calm_us + CALM_MS * AUB_MS)
		g_main_context_iteration(NULL, TRUE);
	aub_timer_cancel(soak.timers, turn);
	good = soak_report(&soak, seed);
	soak_end(&soak);
	return good;
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "seed", 's', "N", 0, "first seed (1)", 0 },
		{ "seconds", 't', "S", 0, "of faults, a seed (20)", 0 },
		{ "runs", 'n', "N", 0, "seeds, one after the other (1)", 0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Gateways under random faults; ends with a line a seed.",
	};
	struct arguments arguments = { .seed = 1, .seconds = 20, .runs = 1 };
	guint failed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	child_guard();
	for (guint i = 0; i < arguments.runs; i++)
		failed += !soak_run(arguments.seed + i, arguments.seconds);
	g_print("%u passed, %u failed\n", arguments.runs - failed, failed);
	return failed ? 1 : 0;
}

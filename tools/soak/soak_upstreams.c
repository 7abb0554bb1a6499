/*
 * Upstreams of the soak test, each behind a proxy, and the checks of the
 * requests that they receive.
 */
#include "soak.h"

/*
 * Returns for how long, in us, a healthy store has contained the draining state
 * of `upstream`.
 */
static gint64 drain_published_us(const struct upstream *upstream)
{
	const struct soak *soak = upstream->soak;
	gint64 since_us = MAX(upstream->draining_us, soak->store_healthy_us);
	gint64 until_us =
		soak->store_repair_us ? soak->store_faulty_us : soak_now(soak);

	return until_us - since_us;
}

static void on_request_started(const char *id, void *context)
{
	struct upstream *upstream = context;
	struct soak *soak = upstream->soak;
	struct request *request = g_hash_table_lookup(soak->requests, id);

	if (!request)
		return;
	if (soak->rollout)
		soak_rollout_on_request(soak->rollout, upstream, id);
	if (soak->workspaces)
		soak_workspaces_on_request(soak->workspaces, upstream, request,
					   id);
	request->executions++;
	if (request->at_most_once && request->executions > 1)
		soak_report_violation(soak, "TWICE", id);
	if (request->reported_not_run)
		soak_report_violation(soak, "REFUSED (executed later)", id);
	if (upstream->draining_us &&
	    drain_published_us(upstream) > DRAIN_LIMIT_US)
		soak_report_violation(soak, "DRAIN", id);
}

static void on_request_arrived(const char *id, void *context)
{
	struct upstream *upstream = context;
	struct soak *soak = upstream->soak;
	struct request *request = g_hash_table_lookup(soak->requests, id);

	if (!request)
		return;
	soak_notices_on_arrival(upstream, request, id);
	if (soak->refusals)
		soak_refusals_on_arrival(soak->refusals, upstream, request, id);
}

static void on_request_answered(const char *id, guint status, void *context)
{
	struct upstream *upstream = context;
	struct request *request =
		g_hash_table_lookup(upstream->soak->requests, id);

	if (request)
		soak_notices_on_answer(upstream, request, status);
}

void soak_upstream_register(struct upstream *upstream, const char *state)
{
	char *address = g_strdup_printf("127.0.0.1:%u", upstream->route->port);
	char *text = g_strdup_printf(
		"{\"address\":\"%s\",\"details\":{\"service\":\"svc\","
		"\"version\":\"%s\",\"zone\":\"z%u\",\"slots\":4},\"status\":{"
		"\"state\":\"%s\",\"sequence\":1,\"warmup_left_ms\":0},"
		"\"born\":%u}",
		address, upstream->of_new_version ? "v2" : "v1",
		upstream->number % 2, state,
		upstream->generation + (upstream->of_new_version ? 1000 : 0));

	platform_store_put(upstream->soak->store, "servers", upstream->id,
			   text);
	g_free(text);
	g_free(address);
}

void soak_upstream_start(struct upstream *upstream)
{
	struct soak *soak = upstream->soak;
	GError *error = NULL;

	upstream->generation++;
	upstream->draining_us = 0;
	upstream->id =
		g_strdup_printf("%s%u-%u", upstream->of_new_version ? "n" : "u",
				upstream->number, upstream->generation);
	upstream->server =
		platform_upstream_new(soak->poller, soak->timers, upstream->id);
	platform_upstream_set_body_bytes(upstream->server, ANSWER_BYTES);
	platform_upstream_set_service_time(upstream->server, SERVICE_TIME_MS);
	if (soak->refusals)
		platform_upstream_set_refusal_load(upstream->server,
						   "0,0,4,100");
	platform_upstream_set_run_callback(upstream->server, on_request_started,
					   upstream);
	platform_upstream_set_arrival_callback(upstream->server,
					       on_request_arrived, upstream);
	platform_upstream_set_answer_callback(upstream->server,
					      on_request_answered, upstream);
	upstream->route =
		proxy_route_new("127.0.0.1:0",
				platform_upstream_address(upstream->server),
				&error);
	if (!upstream->route)
		g_error("proxy: %s", error->message);
	if (soak->partitions)
		soak_partitions_apply(soak->partitions, upstream);
	soak_upstream_register(upstream, "ready");
}

void soak_upstream_stop(struct upstream *upstream)
{
	platform_store_remove(upstream->soak->store, "servers", upstream->id);
	proxy_route_free(upstream->route);
	platform_upstream_free(upstream->server);
	g_free(upstream->id);
}

void soak_configure(struct soak *soak)
{
	GString *text = g_string_new(NULL);
	guint timeout_ms =
		soak->ahead ? soak_ahead_timeout_ms(soak->ahead) : 1500;

	g_string_append_printf(
		text,
		"{\"version\":%u,\"routes\":{\"columns\":[\"name\",\"host\","
		"\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
		"\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],"
		"\"rows\":[[\"r1\",\"site\",\"/safe/\",\"safe\",%u,300,2,"
		"null,2,\"svc\"],[\"r2\",\"site\",\"/once/\",\"unsafe\",1500,"
		"300,1,null,2,\"svc\"]]},\"services\":{\"columns\":[\"name\","
		"\"health_path\",\"max_conns\",\"protocol\",\"tls\","
		"\"warmup_s\",\"warmup_per_s\"],\"rows\":[[\"svc\","
		"\"/health\",220,\"h1\",false,3.0,20.0]]},\"limits\":{"
		"\"max_header_bytes\":4096,\"max_body_bytes\":1048576,"
		"\"header_timeout_ms\":1000,\"idle_timeout_ms\":3000}",
		++soak->config_version, timeout_ms);
	if (soak->workspaces)
		soak_workspaces_append_table(soak->workspaces, text);
	g_string_append_c(text, '}');
	platform_store_put(soak->store, "config", "main", text->str);
	soak_log_change(soak, "configuration", soak->config_version);
	g_string_free(text, TRUE);
}

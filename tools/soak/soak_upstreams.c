/*
 * The soak's upstreams, each behind a proxy, and what they see.
 */
#include "soak.h"

/* For how long the store, while well, has told that `upstream` drains. */
static gint64 heard_us(const struct upstream *upstream)
{
	const struct soak *soak = upstream->soak;
	gint64 since_us = MAX(upstream->draining_us, soak->store_well_us);
	gint64 until_us =
		soak->store_mend_us ? soak->store_ill_us : soak_now(soak);

	return until_us - since_us;
}

static void on_run(const char *id, void *context)
{
	struct upstream *upstream = context;
	struct soak *soak = upstream->soak;
	struct request *request = g_hash_table_lookup(soak->requests, id);

	if (!request)
		return;
	if (soak->rollout)
		soak_rollout_run(soak->rollout, upstream, id);
	request->runs++;
	if (request->once && request->runs > 1)
		soak_broken(soak, "TWICE", id);
	if (request->refused)
		soak_broken(soak, "REFUSED (it ran later)", id);
	if (upstream->draining_us && heard_us(upstream) > DRAIN_US)
		soak_broken(soak, "DRAIN", id);
}

void soak_upstream_enter(struct upstream *upstream, const char *state)
{
	char *address = g_strdup_printf("127.0.0.1:%u", upstream->route->port);
	char *text = g_strdup_printf(
		"{\"address\":\"%s\",\"details\":{\"service\":\"svc\","
		"\"version\":\"%s\",\"zone\":\"z%u\",\"slots\":4},\"status\":{"
		"\"state\":\"%s\",\"sequence\":1,\"warmup_left_ms\":0},"
		"\"born\":%u}",
		address, upstream->of_order ? "v2" : "v1", upstream->number % 2,
		state, upstream->generation + (upstream->of_order ? 1000 : 0));

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
		g_strdup_printf("%s%u-%u", upstream->of_order ? "n" : "u",
				upstream->number, upstream->generation);
	upstream->it =
		platform_upstream_new(soak->poller, soak->timers, upstream->id);
	platform_upstream_set_body_bytes(upstream->it, BODY_BYTES);
	platform_upstream_set_service_time(upstream->it, WORK_MS);
	platform_upstream_set_run_callback(upstream->it, on_run, upstream);
	upstream->route =
		proxy_route_new("127.0.0.1:0",
				platform_upstream_address(upstream->it),
				&error);
	if (!upstream->route)
		g_error("proxy: %s", error->message);
	soak_upstream_enter(upstream, "ready");
}

void soak_upstream_end(struct upstream *upstream)
{
	platform_store_remove(upstream->soak->store, "servers", upstream->id);
	proxy_route_free(upstream->route);
	platform_upstream_free(upstream->it);
	g_free(upstream->id);
}

void soak_configure(struct soak *soak)
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

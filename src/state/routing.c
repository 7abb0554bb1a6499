/*
 * The lookup of routes by host and longest prefix.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/routing.h>

#include <string.h>

/* Golden ratio steps distribute any number of picks evenly. */
#define GOLDEN_RATIO_STEP 0.6180339887498949

struct aub_routing *aub_routing_new(void)
{
	struct aub_routing *routing = g_new0(struct aub_routing, 1);

	routing->refs = 1;
	routing->routes =
		g_ptr_array_new_with_free_func((GDestroyNotify)aub_route_free);
	routing->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)aub_service_spec_free);
	routing->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	return routing;
}

struct aub_routing *aub_routing_ref(struct aub_routing *routing)
{
	routing->refs++;
	return routing;
}

void aub_routing_unref(struct aub_routing *routing)
{
	if (!routing || --routing->refs)
		return;
	g_hash_table_unref(routing->hosts);
	g_hash_table_unref(routing->services);
	g_ptr_array_unref(routing->routes);
	aub_workspaces_free(routing->workspaces);
	g_free(routing);
}

static void split_clear(void *data)
{
	g_free(((struct aub_split *)data)->service);
}

struct aub_route *aub_route_new(void)
{
	struct aub_route *route = g_new0(struct aub_route, 1);

	route->splits = g_array_new(FALSE, FALSE, sizeof(struct aub_split));
	g_array_set_clear_func(route->splits, split_clear);
	route->split_phase = g_random_double();
	return route;
}

void aub_route_free(struct aub_route *route)
{
	if (!route)
		return;
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->splits);
	g_free(route);
}

void aub_route_add_split(struct aub_route *route, const char *service,
			 double weight)
{
	struct aub_split split = {
		.service = g_strdup(service),
		.weight = weight,
	};

	g_array_append_val(route->splits, split);
	route->total_weight += weight;
}

void aub_service_spec_free(struct aub_service_spec *spec)
{
	if (!spec)
		return;
	g_free(spec->name);
	g_free(spec->health_path);
	g_free(spec);
}

static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct aub_route *left = *(struct aub_route *const *)a;
	const struct aub_route *right = *(struct aub_route *const *)b;
	gsize left_length = strlen(left->prefix);
	gsize right_length = strlen(right->prefix);

	return left_length < right_length ? 1 :
	       left_length > right_length ? -1 :
					    0;
}

static bool check_route(const struct aub_routing *routing,
			const struct aub_route *route, GError **error)
{
	if (!route->splits->len || route->total_weight <= 0) {
		aub_error_set(error, AUB_ERROR_INVALID, "check routes",
			      route->name, "has no service with a weight");
		return false;
	}
	for (guint i = 0; i < route->splits->len; i++) {
		const char *service =
			g_array_index(route->splits, struct aub_split, i)
				.service;

		if (g_hash_table_contains(routing->services, service))
			continue;
		aub_error_set(error, AUB_ERROR_INVALID, "check routes",
			      route->name, "service %s is not defined",
			      service);
		return false;
	}
	if (route->prefix[0] == '/' && g_str_has_suffix(route->prefix, "/"))
		return true;
	aub_error_set(error, AUB_ERROR_INVALID, "check routes", route->name,
		      "prefix %s must begin and end with a slash",
		      route->prefix);
	return false;
}

bool aub_routing_build_index(struct aub_routing *routing, GError **error)
{
	GHashTableIter iter;
	void *list;

	for (guint i = 0; i < routing->routes->len; i++) {
		struct aub_route *route = g_ptr_array_index(routing->routes, i);
		GPtrArray *routes =
			g_hash_table_lookup(routing->hosts, route->host);

		if (!check_route(routing, route, error))
			return false;
		route->key = g_str_hash(route->name);
		if (!routes) {
			routes = g_ptr_array_new();
			g_hash_table_insert(routing->hosts, route->host,
					    routes);
		}
		g_ptr_array_add(routes, route);
	}
	g_hash_table_iter_init(&iter, routing->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, compare_prefix_length);
	return true;
}

/*
 * Returns whether the path of `target`, without its query, starts with
 * `prefix`.
 */
static bool has_path_prefix(const char *target, const char *prefix)
{
	gsize length = strlen(prefix);

	return !strncmp(target, prefix, length) && !memchr(target, '?', length);
}

struct aub_route *aub_routing_find(const struct aub_routing *routing,
				   const char *host, const char *target)
{
	char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	GPtrArray *routes = g_hash_table_lookup(routing->hosts, name);

	g_free(name);
	for (guint i = 0; routes && i < routes->len; i++) {
		struct aub_route *route = g_ptr_array_index(routes, i);

		if (has_path_prefix(target, route->prefix))
			return route;
	}
	return NULL;
}

static struct aub_route *find_matching(const struct aub_routing *routing,
				       const struct aub_route *wanted)
{
	GPtrArray *routes = g_hash_table_lookup(routing->hosts, wanted->host);

	for (guint i = 0; routes && i < routes->len; i++) {
		struct aub_route *route = g_ptr_array_index(routes, i);

		if (!strcmp(route->prefix, wanted->prefix))
			return route;
	}
	return NULL;
}

void aub_routing_copy_statistics(struct aub_routing *routing,
				 const struct aub_routing *old)
{
	for (guint i = 0; old && i < routing->routes->len; i++) {
		struct aub_route *route = g_ptr_array_index(routing->routes, i);
		const struct aub_route *previous = find_matching(old, route);

		if (previous) {
			route->caller_wait = previous->caller_wait;
			route->answer_times = previous->answer_times;
		}
	}
}

const char *aub_route_pick_service(struct aub_route *route)
{
	double position;
	guint i = 0;

	route->split_phase += GOLDEN_RATIO_STEP;
	if (route->split_phase >= 1.0)
		route->split_phase -= 1.0;
	position = route->split_phase * route->total_weight;
	for (; i + 1 < route->splits->len; i++) {
		position -= g_array_index(route->splits, struct aub_split, i)
				    .weight;
		if (position < 0)
			break;
	}
	return g_array_index(route->splits, struct aub_split, i).service;
}
